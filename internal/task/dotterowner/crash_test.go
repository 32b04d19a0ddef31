package dotterowner

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// TestTaskThatCrashesWorkersFails guards against a repeatable task that ends the process of
// one worker after the other as it starts, and against blaming the tasks beside it.
func TestTaskThatCrashesWorkersFails(t *testing.T) {
	tests := map[string]bool{"same owner": false, "owner replaced after each start": true}
	for name, replaced := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(t, 3)
			o := p.open(p.options("a/1"))
			beside := p.submit(o, repeat(4, task(true, 30_000))...)
			var deadly []dottertask.ID
			p.set(func() { p.deadly = func(id dottertask.ID) bool { return slices.Contains(deadly, id) } })
			ids := p.submit(o, task(true, 5000), task(true, 5000))
			p.set(func() { deadly = ids })
			starts := 0
			for end := p.clock.Now() + 400*dotterclock.Second; p.clock.Now() < end; {
				p.advanceBy(500)
				if n := p.startsOf(ids[0]); replaced && n > starts {
					starts = n
					o.Stop()
					o = p.open(p.options("a/1"))
				}
				if p.state(o, ids[0]).Final() && p.state(o, ids[1]).Final() {
					break
				}
			}
			for _, id := range ids {
				assert.Equal(t, dottertask.StateFailed, p.state(o, id))
				assert.LessOrEqual(t, p.startsOf(id), 3)
			}
			for _, id := range beside {
				p.untilState(o, id, dottertask.StateDone, 200*dotterclock.Second)
			}
			o.Stop()
			p.checkInvariants()
		})
	}
}

// TestRestartsOfWorkersAreNoFault checks that tasks which have been at work are not failed for
// restarts of their workers.
func TestRestartsOfWorkersAreNoFault(t *testing.T) {
	tests := map[string]dotterclock.Millis{
		"long after each start":            12 * dotterclock.Second,
		"before the first regular renewal": 3 * dotterclock.Second,
	}
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(t, 2)
			o := p.open(p.options("a/1"))
			defer o.Stop()
			ids := p.submit(o, repeat(4, task(true, 60_000))...)
			for starts := range 6 {
				p.advanceUntil(60*dotterclock.Second, func() bool {
					return !slices.ContainsFunc(ids, func(id dottertask.ID) bool { return p.startsOf(id) <= starts })
				})
				p.advanceBy(pause)
				p.restart("d-w0")
				p.restart("d-w1")
			}
			for _, id := range ids {
				p.untilState(o, id, dottertask.StateDone, 300*dotterclock.Second)
			}
			p.checkInvariants()
		})
	}
}
