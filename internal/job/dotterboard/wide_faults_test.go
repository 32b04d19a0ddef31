package dotterboard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

var (
	wideFirst = flag.Uint64("wide.first", 1, "first seed of TestWideJobsAndGangsKeepInvariantsUnderFaults")
	wideSeeds = flag.Uint64("wide.seeds", 40, "number of its seeds")
)

// wideFaults is a federation in which random faults meet gangs, and jobs whose progress is stored in parts.
type wideFaults struct {
	*federation
	draw  *rand.Rand
	ids   []dotterjob.ID
	gangs map[dotterjob.ID]map[int]bool // numbers of the runs of which a member failed
}

// anyShard returns one of the shards.
func (f *wideFaults) anyShard() *shard {
	return f.shards[f.names[f.draw.IntN(len(f.names))]]
}

// anyWorker returns the ID of one of the workers.
func (f *wideFaults) anyWorker() string {
	return f.worker(f.anyShard().name, f.draw.IntN(3))
}

// chance returns true half of the time.
func (f *wideFaults) chance() bool {
	return f.draw.IntN(2) == 0
}

// submitAny submits a wide job, a schedule wider than a part, or a gang.
func (f *wideFaults) submitAny() {
	home, number := f.anyShard().name, len(f.ids)+1
	var id dotterjob.ID
	switch f.draw.IntN(4) {
	case 0:
		id = f.submit(home, number, gangOf(6))
		f.gangs[id] = map[int]bool{}
	case 1:
		id = f.shards[home].schedule(number, 6, f.clock.Now(), 200, tasks(100, 100))
		f.homes[id] = home
	default:
		after := tasks(40, 200)
		after.After = []int{0}
		id = f.submit(home, number, tasks(500+f.draw.IntN(200), 100), after)
	}
	f.ids = append(f.ids, id)
}

// failMembers fails some members of each gang that run on a worker.
func (f *wideFaults) failMembers() {
	for _, id := range f.ids {
		if failedRuns, gang := f.gangs[id]; gang {
			for _, ref := range f.pool.FailRuns(f.anyWorker(), id, 1+f.draw.IntN(6)) {
				failedRuns[ref.Run] = true
			}
		}
	}
}

// disturb submits a job, or injects or lifts one fault.
func (f *wideFaults) disturb() {
	actions := []func(){
		f.submitAny, f.submitAny, f.failMembers,
		func() { f.pool.SetUnreachable(f.anyWorker(), true) },
		func() { f.pool.SetUnreachable(f.anyWorker(), false) },
		func() { f.pool.SetUnreachable(f.anyWorker(), false) },
		func() { f.pool.LoseAnswers(f.anyWorker(), 2) },
		func() { f.anyShard().storeUp = f.chance() },
		func() { f.anyShard().oneBatch = f.chance() },
		func() { f.anyShard().answersHeld = true },
		func() { f.anyShard().answer() },
		func() { f.replaceOwner(f.anyShard().name) },
		func() { f.replaceOwner(f.anyShard().name) },
		func() { f.setOut(f.anyShard().name, f.chance()) },
		func() { f.setOut(f.anyShard().name, f.chance()) },
	}
	actions[f.draw.IntN(len(actions))]()
}

// mend lifts all faults.
func (f *wideFaults) mend() {
	for _, name := range f.names {
		s := f.shards[name]
		s.storeUp, s.oneBatch = true, false
		s.answer()
		f.setOut(name, false)
		for i := range 3 {
			f.pool.SetUnreachable(f.worker(name, i), false)
		}
	}
}

// TestWideJobsAndGangsKeepInvariantsUnderFaults is TestShardsKeepInvariantsUnderFaults for jobs whose progress is stored in parts, and for
// gangs of which members fail. Commits may be answered late, and owners may store one batch at a time.
func TestWideJobsAndGangsKeepInvariantsUnderFaults(t *testing.T) {
	for seed := *wideFirst; seed < *wideFirst+*wideSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &wideFaults{federation: newFederation(t, map[string]int{"a": 3, "b": 3}), draw: rand.New(rand.NewPCG(seed, 0)), gangs: map[dotterjob.ID]map[int]bool{}}
			for range 10 + f.draw.IntN(30) {
				f.disturb()
				f.run(dotterclock.Millis(f.draw.IntN(60) * 10))
				f.requireNoViolations()
			}
			f.mend()
			isOpen := func(id dotterjob.ID) bool { return !f.state(id).Final() }
			for end := f.clock.Now() + 60_000; f.clock.Now() < end && slices.ContainsFunc(f.ids, isOpen); {
				f.run(500)
			}
			f.run(1000)
			f.requireNoViolations()
			for _, id := range f.ids {
				state := f.state(id)
				require.True(t, state.Final(), "job %s at %s is %q", id, f.homes[id], state)
				if failedRuns := f.gangs[id]; len(failedRuns) < 2 { // the attempts that its queue allows
					require.Equal(t, dotterjob.Completed, state, "job %s, runs of its gang that failed: %v", id, failedRuns)
				}
			}
		})
	}
}
