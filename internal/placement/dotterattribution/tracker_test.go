package dotterattribution_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterattribution"
)

const now = 1_000_000 * dotterclock.Millisecond

func task(template string, number int) dottertask.Task {
	return dottertask.Task{ID: dottertask.ID(fmt.Sprintf("%s-%d", template, number)), Template: template}
}

func worker(number int) string {
	return fmt.Sprintf("w%d", number)
}

// succeedOnAll records one success of each template on each worker.
func succeedOnAll(b *dotterattribution.Tracker, workers int, templates ...string) {
	for w := range workers {
		for _, name := range templates {
			b.RecordSuccess(now, worker(w), task(name, w))
		}
	}
}

func TestFailureAttribution(t *testing.T) {
	tests := map[string]struct {
		events      func(b *dotterattribution.Tracker)
		quarantined []string
		exhausted   bool // the task x-0
	}{
		"a worker that fails known good templates": {
			events: func(b *dotterattribution.Tracker) {
				succeedOnAll(b, 5, "a", "b")
				b.RecordFailure(now, "w0", task("a", 0))
				b.RecordFailure(now, "w0", task("b", 0))
			},
			quarantined: []string{"w0"},
		},
		"one failure is not enough": {
			events: func(b *dotterattribution.Tracker) {
				succeedOnAll(b, 5, "a")
				b.RecordFailure(now, "w0", task("a", 0))
			},
		},
		"a worker that fails new templates": {
			events: func(b *dotterattribution.Tracker) {
				b.RecordFailure(now, "w0", task("a", 0))
				b.RecordFailure(now, "w0", task("b", 0))
			},
			quarantined: []string{"w0"},
		},
		"a template that fails everywhere": {
			events: func(b *dotterattribution.Tracker) {
				succeedOnAll(b, 8, "a")
				for i := range 24 {
					b.RecordFailure(now, worker(i%8), task("x", i/8))
				}
			},
			exhausted: true,
		},
		"a task that fails on good workers": {
			events: func(b *dotterattribution.Tracker) {
				succeedOnAll(b, 8, "x")
				for i := range dotterattribution.DefaultMaxAttempts {
					b.RecordFailure(now, worker(i), task("x", 0))
				}
			},
			exhausted: true,
		},
		"a task that fails on bad workers": {
			events: func(b *dotterattribution.Tracker) {
				succeedOnAll(b, 8, "x", "a")
				for i := range dotterattribution.DefaultMaxAttempts {
					b.RecordFailure(now, worker(i), task("a", i))
					b.RecordFailure(now, worker(i), task("a", i))
					b.RecordFailure(now, worker(i), task("x", 0))
				}
			},
			quarantined: []string{"w0", "w1", "w2"},
		},
		"a worker with a mixed record": {
			events: func(b *dotterattribution.Tracker) {
				succeedOnAll(b, 5, "a")
				for i := range 10 {
					b.RecordFailure(now, "w0", task("a", i))
					b.RecordSuccess(now, "w0", task("a", 100+i))
					b.RecordSuccess(now, "w0", task("a", 200+i))
				}
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := dotterattribution.New()
			tc.events(b)
			var quarantined []string
			for i := range 8 {
				if b.WorkerLimits(now, worker(i)).Quarantined {
					quarantined = append(quarantined, worker(i))
				}
			}
			assert.Equal(t, tc.quarantined, quarantined)
			assert.Equal(t, tc.exhausted, b.Exhausted(task("x", 0), 0))
		})
	}
}

func TestProbeEndsOrDoublesQuarantine(t *testing.T) {
	b := dotterattribution.New()
	succeedOnAll(b, 5, "a")
	for i := range 8 {
		b.RecordFailure(now, "w0", task("a", i))
	}
	assert.Equal(t, dotterattribution.WorkerLimits{Quarantined: true, MaxUnconfirmed: 1}, b.WorkerLimits(now, "w0"))
	due := now + dotterattribution.FirstQuarantine
	assert.True(t, b.WorkerLimits(due, "w0").Probe)
	b.RecordFailure(due, "w0", task("a", 8))
	due += 2 * dotterattribution.FirstQuarantine
	assert.False(t, b.WorkerLimits(due-1, "w0").Probe)
	assert.True(t, b.WorkerLimits(due, "w0").Probe)
	b.RecordSuccess(due, "w0", task("a", 9))
	assert.Equal(t, dotterattribution.WorkerLimits{MaxUnconfirmed: dotterattribution.MaxUnconfirmed}, b.WorkerLimits(due, "w0"))
}
