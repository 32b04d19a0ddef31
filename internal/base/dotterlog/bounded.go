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
	// infoPerSecond bounds the lines below the level warn that a process writes; at
	// some 300 bytes a line that is well below a megabyte a second.
	infoPerSecond = 400
	// warnPerSecond bounds the lines from the level warn up, which have a budget of their own.
	warnPerSecond = 200
	// burstSpan is how many seconds' worth of lines may come at once.
	burstSpan = 2
	// bounceSpan is how often dropped lines are counted in a line of their own.
	bounceSpan = time.Second
	// queuedLines bounds the lines that wait for a reader of the output.
	queuedLines = 4096
)

// Bounded is a zap core that drops lines rather than write more than it may, or
// wait for whoever reads the output. What it drops it counts.
type Bounded struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	output  *output
}

// output is what the clones of a Bounded share.
type output struct {
	lines   chan []byte
	info    *rate.Limiter
	warn    *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	ended   sync.WaitGroup
}

// NewBounded returns a logger for host that writes JSON lines to w and never waits
// for it, and the function that flushes it at the end.
func NewBounded(level, host string, w io.Writer) (*zap.Logger, func()) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		least = zapcore.InfoLevel
	}
	o := &output{
		lines: make(chan []byte, queuedLines),
		info:  rate.NewLimiter(infoPerSecond, infoPerSecond*burstSpan),
		warn:  rate.NewLimiter(warnPerSecond, warnPerSecond*burstSpan),
		done:  make(chan struct{}),
	}
	core := &Bounded{LevelEnabler: least, encoder: zapcore.NewJSONEncoder(encoderConfig()), output: o}
	logger := zap.New(core).With(zap.String("Host", host))
	o.ended.Add(1)
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

// Check implements zapcore.Core; a line over the budget is dropped before it is encoded.
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
	line, err := b.encoder.EncodeEntry(entry, brief(fields))
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

// brief replaces errors by their messages: a stack of each would be most of the volume.
func brief(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String("Error", err.Error())
		}
	}
	return fields
}

// Sync implements zapcore.Core; lines are written as they come.
func (b *Bounded) Sync() error {
	return nil
}

// write copies lines to w and counts in a line of its own what was dropped.
func (o *output) write(w io.Writer, logger *zap.Logger) {
	defer o.ended.Done()
	tick := time.NewTicker(bounceSpan)
	defer tick.Stop()
	for {
		select {
		case line := <-o.lines:
			o.put(w, line)
		case <-tick.C:
			if n := o.dropped.Swap(0); n > 0 {
				logger.Warn("log lines dropped", zap.Int64("Lines", n))
			}
		case <-o.done:
			for len(o.lines) > 0 {
				o.put(w, <-o.lines)
			}
			return
		}
	}
}

func (o *output) put(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		o.dropped.Add(1)
	}
}

func (o *output) close() {
	o.once.Do(func() { close(o.done) })
	o.ended.Wait()
}
