package dotterboard

import (
	"maps"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterrelief"
)

// Counters counts a board's decisions and their results since its owner took over.
type Counters struct {
	Starts         int64
	Refused        map[dotterrun.Refusal]int64
	Endings        map[dotterrun.Ending]int64
	Outcomes       map[dotterjob.State]int64
	ResolvedByStop int64                       // unanswered starts ruled out by an answered stop
	Lost           int64                       // runs that ended without a reported end
	Rankings       int64                       // rankings of all workers for a step
	Excluded       int64                       // jobs that are left as they are stored, because they cannot be handled
	Rejected       int64                       // jobs whose progress the store has rejected for good
	Panics         int64                       // contained panics that belong to no single job
	FailedAttempts int64                       // failed runs of tasks, and of gangs
	Crashes        int64                       // crashes of workers that were counted against a task
	HandedOver     int64                       // tasks handed over to other shards
	Absorbed       int64                       // tasks taken from other shards
	DoneHandedOver int64                       // done tasks of jobs that were handed over to another home
	DoneAbsorbed   int64                       // tasks that transfers from other shards show as done
	Relief         map[dotterrelief.Kind]int64 // actions on filling tasks for serving ones
	Granted        int64                       // parts of tenants' caps given to other shards
	Held           int64                       // steps that the cap of their tenant has held
	Beyond         int64                       // jobs that went after others because of the rates of their tenants

	Reservations map[dotterlookahead.Outcome]int64 // of room for large tasks, by what became of them
}

func newCounters() Counters {
	return Counters{
		Refused:  map[dotterrun.Refusal]int64{},
		Endings:  map[dotterrun.Ending]int64{},
		Outcomes: map[dotterjob.State]int64{},
		Relief:   map[dotterrelief.Kind]int64{},

		Reservations: map[dotterlookahead.Outcome]int64{},
	}
}

// maxNamedWorkers bounds Summary.UnackedByWorker.
const maxNamedWorkers = 20

// Summary holds the counters of a board and the number of its jobs, runs and workers.
type Summary struct {
	Counters
	Jobs         int // without a final state
	Waiting      int // unbound tasks of ready steps
	Bound        int // runs bound to workers
	Workers      int // in the directory
	Unresponsive int // in the directory, without a recent listing
	Quarantined  int // in the directory, not given tasks after failures there
	OverTarget   int // serving tasks whose tail latency exceeds its target
	Tasks        int // that the board holds in memory
	Closing      int // in the directory, not given tasks until ends there can be acknowledged
	Unacked      int // ends that workers list and that are not acknowledged
	LargestValue int // bytes of the largest progress that was to be stored
	AwaitLease   int // runs on workers that do not answer, which are taken for lost when their leases have expired
	Unopened     int // jobs of which occurrences that are due wait for others' tasks to start
	LostWaiting  int // long-running tasks that wait and have run before

	LongestLost dotterclock.Millis // for which one of them has waited

	UnackedByWorker map[string]int // on workers where an end may not be acknowledged before the lease has expired
}

// Summary returns the current summary.
func (b *Board) Summary(now dotterclock.Millis) Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Summary{Counters: b.counters.clone(), Jobs: len(b.open), Unopened: b.unopened, LargestValue: b.largestValue}
	for _, j := range b.open {
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if step.waiting > 0 && step.ready(0) {
					s.Waiting += step.waiting
				}
				s.countLost(now, step)
			}
		}
	}
	for _, j := range b.jobs {
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				s.Tasks += len(step.tasks)
			}
		}
	}
	s.UnackedByWorker = map[string]int{}
	for _, w := range b.workersByID {
		s.Bound += len(w.runs)
		if !w.contacted || w.unansweredSince != 0 {
			s.AwaitLease += len(w.runs)
		}
		s.Unacked += len(w.unacknowledged)
		if w.ignored() > 0 && len(s.UnackedByWorker) < maxNamedWorkers {
			s.UnackedByWorker[w.ID] = len(w.unacknowledged)
		}
		if !w.inDirectory {
			continue
		}
		s.Workers++
		if w.closing {
			s.Closing++
		}
		if w.unansweredSince != 0 || now-w.heardAt > maxListingAge {
			s.Unresponsive++
		}
		if w.faults.decayedWeight(now) >= quarantineWeight {
			s.Quarantined++
		}
		for _, t := range w.runs {
			if t.overTargetSince != 0 {
				s.OverTarget++
			}
		}
	}
	return s
}

// countLost counts the lost tasks of a step.
func (s *Summary) countLost(now dotterclock.Millis, of *step) {
	if !of.LongRunning || of.waiting == 0 {
		return
	}
	for _, t := range of.tasks {
		if t.isLost() {
			s.LostWaiting++
			s.LongestLost = max(s.LongestLost, now-t.lostAt)
		}
	}
}

func (c Counters) clone() Counters {
	c.Refused, c.Endings, c.Outcomes, c.Relief = maps.Clone(c.Refused), maps.Clone(c.Endings), maps.Clone(c.Outcomes), maps.Clone(c.Relief)
	c.Reservations = maps.Clone(c.Reservations)
	return c
}

// Dirty reports whether any change is pending for the store.
func (b *Board) Dirty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quota.allotments.dirty || len(b.dirty) > 0 || len(b.expired)+len(b.dropped)+len(b.orphans) > 0
}
