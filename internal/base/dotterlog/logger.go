package dotterlog

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	bufferBytes   = 256 * 1024
	flushInterval = time.Second
)

// New returns a logger for host that writes lines of at least level to the
// standard error, the ring of its newest decisions, and the function that
// flushes it at the end.
func New(level, host string) (*zap.Logger, *Ring, func()) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		least = zapcore.InfoLevel
	}
	writer := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(os.Stderr), Size: bufferBytes, FlushInterval: flushInterval}
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), writer, least)
	ring := NewRing(DefaultRingSize)
	logger := zap.New(zapcore.NewTee(lines, ring)).With(zap.String("Host", host))
	flush := func() { _ = writer.Stop() }
	return logger, ring, flush
}

func encoderConfig() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		NameKey:        "Logger",
		MessageKey:     "Message",
		EncodeTime:     zapcore.EpochMillisTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.MillisDurationEncoder,
	}
}
