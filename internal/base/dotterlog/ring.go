package dotterlog

import (
	"slices"
	"sync"

	"go.uber.org/zap/zapcore"
)

// DefaultRingSize is the number of decisions that a daemon keeps in memory.
const DefaultRingSize = 2048

// targetField is the log field that marks a line as a decision.
const targetField = "Target"

// Ring is a zapcore.Core that keeps the latest decisions in a ring buffer.
type Ring struct {
	mu    sync.Mutex
	lines []Decision
	next  int // index of the oldest line once the ring is full
}

var _ zapcore.Core = (*Ring)(nil)

// NewRing returns a ring that keeps the latest size decisions.
func NewRing(size int) *Ring {
	return &Ring{lines: make([]Decision, 0, size)}
}

// Newest returns up to count of the latest decisions, oldest first.
func (r *Ring) Newest(count int) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := slices.Concat(r.lines[r.next:], r.lines[:r.next])
	if len(ordered) > count {
		ordered = ordered[len(ordered)-count:]
	}
	return ordered
}

// Enabled reports whether level is info or above.
func (r *Ring) Enabled(level zapcore.Level) bool {
	return level >= zapcore.InfoLevel
}

// With returns r itself: fields common to all lines are not recorded.
func (r *Ring) With([]zapcore.Field) zapcore.Core {
	return r
}

// Check adds r to the cores that write the entry.
func (r *Ring) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !r.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, r)
}

// Write records the line if it is a decision.
func (r *Ring) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if !slices.ContainsFunc(fields, func(f zapcore.Field) bool { return f.Key == targetField }) {
		return nil
	}
	line := Decision{At: entry.Time.UnixMilli(), Message: entry.Message, fields: slices.Clone(fields)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) < cap(r.lines) {
		r.lines = append(r.lines, line)
		return nil
	}
	r.lines[r.next] = line
	r.next = (r.next + 1) % len(r.lines)
	return nil
}

// Sync does nothing, because the ring has no output to flush.
func (r *Ring) Sync() error {
	return nil
}
