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

// New returns a logger for host that writes lines of the given level or above to
// standard error, the ring of its latest decisions, and a function that flushes the
// logger and stops it.
func New(level, host string) (*zap.Logger, *Ring, func()) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	writer := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(os.Stderr), Size: bufferBytes, FlushInterval: flushInterval}
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), writer, minLevel)
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
