package dotterlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// infoPerSecond limits the lines below level warn. At about 300 bytes per line
	// this is well below 1 MB/s.
	infoPerSecond = 400
	// warnPerSecond limits the lines of level warn and above, which have a separate limit.
	warnPerSecond = 200
	// burstSeconds is the permitted burst, in seconds of the sustained rate.
	burstSeconds = 2
	// dropReportInterval is the interval at which the number of dropped lines is logged.
	dropReportInterval = time.Second
	// maxQueuedLines limits the lines that wait to be written to the output.
	maxQueuedLines = 4096
)

// Bounded is a zapcore.Core that drops lines instead of exceeding its rate limits or
// blocking on the output. It counts the lines that it drops.
type Bounded struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	output  *output
}

// output is the state shared by the clones of a Bounded.
type output struct {
	lines   chan []byte
	info    *rate.Limiter
	warn    *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	writer  sync.WaitGroup
}

// NewBounded returns a logger for host that writes JSON lines to w without ever
// blocking on it, and a function that writes the queued lines and stops the logger.
func NewBounded(level, host string, w io.Writer) (*zap.Logger, func()) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	o := &output{
		lines: make(chan []byte, maxQueuedLines),
		info:  rate.NewLimiter(infoPerSecond, infoPerSecond*burstSeconds),
		warn:  rate.NewLimiter(warnPerSecond, warnPerSecond*burstSeconds),
		done:  make(chan struct{}),
	}
	core := &Bounded{LevelEnabler: minLevel, encoder: zapcore.NewJSONEncoder(encoderConfig()), output: o}
	logger := zap.New(core).With(zap.String("Host", host))
	o.writer.Add(1)
	go o.write(w, logger)
	return logger, o.close
}

// With implements zapcore.Core.
func (b *Bounded) With(fields []zapcore.Field) zapcore.Core {
	encoder := b.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &Bounded{LevelEnabler: b.LevelEnabler, encoder: encoder, output: b.output}
}

// Check implements zapcore.Core. It drops a line over the rate limit before it is encoded.
func (b *Bounded) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(entry.Level) {
		return checked
	}
	limiter := b.output.info
	if entry.Level >= zapcore.WarnLevel {
		limiter = b.output.warn
	}
	if !limiter.Allow() {
		b.output.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, b)
}

// Write implements zapcore.Core.
func (b *Bounded) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	line, err := b.encoder.EncodeEntry(entry, errorsAsText(fields))
	if err != nil {
		return err
	}
	select {
	case b.output.lines <- append([]byte(nil), line.Bytes()...):
	default:
		b.output.dropped.Add(1)
	}
	line.Free()
	return nil
}

// errorsAsText replaces error fields by their messages. Stack traces would be most of
// the log volume.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String("Error", err.Error())
		}
	}
	return fields
}

// Sync implements zapcore.Core. It does nothing because lines are written without delay.
func (b *Bounded) Sync() error {
	return nil
}

// write copies queued lines to w and periodically logs the number of dropped lines.
func (o *output) write(w io.Writer, logger *zap.Logger) {
	defer o.writer.Done()
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-o.lines:
			o.writeLine(w, line)
		case <-tick.C:
			if n := o.dropped.Swap(0); n > 0 {
				logger.Warn("log lines dropped", zap.Int64("Lines", n))
			}
		case <-o.done:
			for len(o.lines) > 0 {
				o.writeLine(w, <-o.lines)
			}
			return
		}
	}
}

func (o *output) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		o.dropped.Add(1)
	}
}

func (o *output) close() {
	o.once.Do(func() { close(o.done) })
	o.writer.Wait()
}
