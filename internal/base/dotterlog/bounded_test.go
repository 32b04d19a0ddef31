package dotterlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(line)
}

func TestBoundedDropsOverItsBudget(t *testing.T) {
	tests := map[string]struct {
		lines, least, most int
		warn               bool
	}{
		"few lines":       {lines: 10, least: 10, most: 10},
		"too many":        {lines: 5000, least: infoPerSecond, most: infoPerSecond*burstSpan + infoPerSecond},
		"too many of ill": {lines: 5000, least: warnPerSecond, most: warnPerSecond*burstSpan + warnPerSecond, warn: true},
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
			assert.GreaterOrEqual(t, n, tc.least)
			assert.LessOrEqual(t, n, tc.most)
		})
	}
}

func TestBoundedNeverWaitsForTheReader(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	logger, flush := NewBounded("info", "a1", s)
	for range 3 * queuedLines {
		logger.Info("line", zap.Int("Number", 1))
	}
	close(s.release)
	flush()
}
