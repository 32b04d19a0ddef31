package dotterstandworker

import (
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
)

// Interference is the table of slowdowns between templates. The system under test
// does not see it.
type Interference struct {
	mu    sync.RWMutex
	pairs map[pair]float64
}

type pair struct {
	template string
	beside   string
}

// NewInterference returns an empty table, without any interference.
func NewInterference() *Interference {
	return &Interference{pairs: map[pair]float64{}}
}

// Set replaces the table.
func (t *Interference) Set(rows []dotterfault.Interference) {
	pairs := make(map[pair]float64, len(rows))
	for _, r := range rows {
		pairs[pair{r.Template, r.Beside}] = r.Slowdown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pairs = pairs
}

// Slowdown returns how much one attempt of the template beside adds to the slowdown
// of an attempt of template.
func (t *Interference) Slowdown(template, beside string) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pairs[pair{template, beside}]
}
