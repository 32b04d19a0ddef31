package dotterlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// buffer is a bytes.Buffer that is safe for concurrent writes.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(line)
}

func TestBoundedDropsLinesOverRateLimit(t *testing.T) {
	tests := map[string]struct {
		lines, low, high int
		warn             bool
	}{
		"few lines":         {lines: 10, low: 10, high: 10},
		"too many":          {lines: 5000, low: infoPerSecond, high: infoPerSecond*burstSeconds + infoPerSecond},
		"too many warnings": {lines: 5000, low: warnPerSecond, high: warnPerSecond*burstSeconds + warnPerSecond, warn: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := &buffer{}
			logger, flush := NewBounded("info", "a1", b)
			for range tc.lines {
				if tc.warn {
					logger.Warn("line")
				} else {
					logger.Info("line")
				}
			}
			flush()
			n := strings.Count(b.String(), `"Message":"line"`)
			assert.GreaterOrEqual(t, n, tc.low)
			assert.LessOrEqual(t, n, tc.high)
		})
	}
}

func TestBoundedNeverBlocksOnOutput(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	logger, flush := NewBounded("info", "a1", w)
	for range 3 * maxQueuedLines {
		logger.Info("line", zap.Int("Number", 1))
	}
	close(w.release)
	flush()
}
