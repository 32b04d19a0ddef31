package dotterplacer

import (
	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

var _ dotterelusher.Placer = (*Placer)(nil)

// Placer is the placement policy of one shard.
type Placer struct {
	options Options
}

// New returns a Placer that knows nothing yet.
func New(options Options) *Placer {
	return &Placer{options: options.withDefaults()}
}

// Plan decides on the state.
func (p *Placer) Plan(state dotterplan.State) dotterplan.Plan {
	r := newRound(p, state)
	r.placeQueue()
	return r.plan
}

// Observe takes in late usage reports of attempts that run on worker.
func (p *Placer) Observe(now dotterclock.Millis, worker string, usage []dotterattempt.Usage) {
}

// Ended takes in how an attempt of task ended on worker.
func (p *Placer) Ended(now dotterclock.Millis, worker string, task dottertask.Task, status dotterattempt.Status) {
}
