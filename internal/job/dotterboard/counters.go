package dotterboard

import (
	"maps"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// Counters count a board's decisions since its owner took over.
type Counters struct {
	Starts   int64
	Refused  map[dotterrun.Refusal]int64
	Endings  map[dotterrun.Ending]int64
	Outcomes map[dotterjob.State]int64
	Sealed   int64 // uncertain starts that a stop has resolved
	Lost     int64 // runs given up for dead
	Ranked   int64 // times that all workers were ranked for a step
}

func newCounters() Counters {
	return Counters{
		Refused:  map[dotterrun.Refusal]int64{},
		Endings:  map[dotterrun.Ending]int64{},
		Outcomes: map[dotterjob.State]int64{},
	}
}

// Summary is the board's counters and sizes.
type Summary struct {
	Counters
	Jobs       int // not final
	Waiting    int // tasks whose turn has come and that have no worker
	Bound      int // runs on workers
	Workers    int // listed
	Silent     int // listed and not heard from lately
	Quarantine int // listed and kept from new tasks
	Harmed     int // serving tasks over their target
}

// Summary returns the counters and sizes.
func (b *Board) Summary(now dotterclock.Millis) Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Summary{Counters: b.counters.clone(), Jobs: len(b.open)}
	for _, j := range b.open {
		for _, o := range j.occurrences {
			for _, p := range o.steps {
				if p.waiting > 0 && p.ready(0) {
					s.Waiting += p.waiting
				}
			}
		}
	}
	for _, w := range b.workersByID {
		s.Bound += len(w.runs)
		if !w.listed {
			continue
		}
		s.Workers++
		if w.failedAt != 0 || now-w.heardAt > heardSpan {
			s.Silent++
		}
		if w.conduct.decayed(now) >= quarantineFaults {
			s.Quarantine++
		}
		for _, t := range w.runs {
			if t.overSince != 0 {
				s.Harmed++
			}
		}
	}
	return s
}

func (c Counters) clone() Counters {
	c.Refused, c.Endings, c.Outcomes = maps.Clone(c.Refused), maps.Clone(c.Endings), maps.Clone(c.Outcomes)
	return c
}

// Dirty reports whether there is something to write.
func (b *Board) Dirty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.dirty) > 0 || len(b.expired) > 0
}
