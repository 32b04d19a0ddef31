package dotterboard

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

const (
	fuzzJob    = `{"ID":"0000000000000001","Queue":"callers.example/quick/","Spec":"s","Steps":[{"Count":2,"Size":{"MilliCores":4000,"MemoryMB":8000},"Estimate":200},{"Count":1,"Estimate":100,"After":[0],"Checkpoints":true,"Fills":true,"Image":"i"}]}`
	fuzzRecord = `{"Begun":true,"Steps":[{"Tasks":[{"Run":1,"Worker":"w00"},{"Index":1,"Done":true,"Run":1}]},{"Step":1,"Tasks":[{"Run":2,"Failures":1,"Worker":"gone","Checkpoint":"c"}]}]}`
)

// newFuzzedShard returns a shard, and a function that requires that no panic was contained
// and that the board's counts agree.
func newFuzzedShard(t *testing.T) (*shard, func()) {
	s := newShard(t, 2)
	core, logs := observer.New(zap.ErrorLevel)
	s.board.logger = zap.New(core)
	return s, func() {
		t.Helper()
		for _, line := range logs.All() {
			require.NotContains(t, line.ContextMap(), "Stack", line.Message)
		}
		s.requireConsistent()
		s.requireReserved()
	}
}

// requireReserved requires that what is reserved on each worker is what its runs reserve.
func (s *shard) requireReserved() {
	s.t.Helper()
	for _, w := range s.board.workersByID {
		sum := dotterroom.Room{}
		for _, t := range w.runs {
			sum = sum.Add(t.step.Reserved())
		}
		for _, r := range w.unknownRuns {
			sum = sum.Add(r.reserved)
		}
		require.Equal(s.t, sum, w.reserved, "reserved on %s", w.ID)
	}
}

// FuzzStoredJob loads a job and its progress as they may stand in the store.
func FuzzStoredJob(f *testing.F) {
	f.Add(fuzzJob, fuzzRecord)
	f.Add(fuzzJob, `{"Steps":[{"Occurrence":-1,"Done":true}]}`)
	f.Add(fuzzJob, `{"Steps":[{"Tasks":[{"Run":1,"Worker":"w00"},{"Run":1,"Worker":"w00"}]}]}`)
	f.Add(`{"ID":"0000000000000001","Steps":[{"Count":-1}]}`, `{}`)
	f.Add(`{"ID":"0000000000000001","Times":2,"Interval":10,"Steps":[{"Count":1,"Gang":true,"Size":{"MilliCores":1}}]}`, `{"Outcome":"Failed"}`)
	f.Fuzz(func(t *testing.T, job, record string) {
		var j dotterjob.Job
		if json.Unmarshal([]byte(job), &j) != nil {
			return
		}
		s, check := newFuzzedShard(t)
		s.pool.AddJob(j)
		s.board.Accept(s.clock.Now(), 0, j)
		if err := s.board.Restore(s.clock.Now(), j.ID, []byte(record)); err != nil {
			s.board.Exclude(j.ID, err)
		}
		s.run(300)
		check()
	})
}

// FuzzTransfer applies a transfer as another owner may have stored it.
func FuzzTransfer(f *testing.F) {
	f.Add(`{"Home":true,"Job":` + fuzzJob + `,"Record":` + fuzzRecord + `}`)
	f.Add(`{"Job":` + fuzzJob + `,"Record":{"Steps":[{"Step":9,"Done":true}]}}`)
	f.Fuzz(func(t *testing.T, transfer string) {
		var v Transfer
		if json.Unmarshal([]byte(transfer), &v) != nil {
			return
		}
		s, check := newFuzzedShard(t)
		s.pool.AddJob(v.Job)
		for range 2 {
			s.board.Absorb(s.clock.Now(), 0, "key", v)
		}
		s.run(300)
		check()
	})
}

// FuzzVacancy plans beside a shard whose owner publishes whatever its head may hold.
func FuzzVacancy(f *testing.F) {
	f.Add(`{"Published":true,"Services":{"pool":{"Capacity":64000,"Reserved":1000,"Unused":9000,"Slots":[9,9,9,9,9,9,9,9,9,9,9],"Lasting":4,"Labels":["kind"]}}}`)
	f.Add(`{"Services":{"pool":{"Capacity":-1,"Reserved":-9223372036854775808,"Unused":9223372036854775807,"Slots":[-1]}}}`)
	f.Add(`{"Tenants":{"north":{"Part":-9223372036854775808,"Need":9223372036854775807,"Unused":-1}}}`)
	f.Add(`{"Tenants":{"north":{"Part":1,"Need":5040000},"south":{"Need":-1}}}`)
	f.Add(`{"Tenants":{"north":{"Part":1,"Claim":5040000,"Ticket":9007199254740992},"south":{"Claim":1,"Ticket":-1}}}`)
	f.Add(`{"Tenants":{"north":{"Part":1,"Need":9,"Least":5040000,"Lasting":5040000,"Spare":5040000,"Unused":5040000,"Claim":2,"Ticket":1}}}`)
	f.Fuzz(func(t *testing.T, vacancy string) {
		var v dottervacancy.Vacancy
		if json.Unmarshal([]byte(vacancy), &v) != nil {
			return
		}
		s, check := newFuzzedShard(t)
		s.board.SetShard("a", 0, 2)
		s.configureTenants(tenantWithCap("north", 6))
		s.board.SetPeers([]Peer{{Shard: "other", Vacancy: v, SeenAt: s.clock.Now()}})
		s.submitAs("north", testQueue, 4, tasks(2, 300))
		s.submit(1, tasks(40, 300))
		s.submitTo(lowQueue, 2, fillingStep("f", 40, 300, false))
		s.submit(3, servingStep("serving", 12))
		s.run(300)
		check()
	})
}

// FuzzAllotments restores and absorbs whatever may stand for parts of caps.
func FuzzAllotments(f *testing.F) {
	f.Add(`{"north":100}`, `{"Parts":{"north":100,"south":7}}`)
	f.Add(`{"north":5040000}`, `{"Parts":{"north":1}}`)
	f.Add(`{"north":1e300}`, `{"Parts":{"north":9223372036854775807,"":-5}}`)
	f.Fuzz(func(t *testing.T, stored, granted string) {
		s, check := newFuzzedShard(t)
		s.board.logger = zap.NewNop()
		s.board.SetShard("a", 0, 2)
		s.configureTenants(tenantWithCap("north", 6))
		_ = s.board.RestoreAllotments([]byte(stored))
		var g Grant
		if json.Unmarshal([]byte(granted), &g) == nil {
			s.board.AbsorbGrant("key", g)
		}
		for _, tenant := range []string{"north", "south", ""} {
			part := s.board.quota.allotments.part(tenant)
			require.True(t, part >= 0 && part <= dotterquota.Whole, "part %d of %q", part, tenant)
		}
		s.submitAs("north", testQueue, 4, tasks(2, 300))
		s.run(300)
		check()
	})
}

// FuzzLearned restores and adopts whatever may stand for a learned model.
func FuzzLearned(f *testing.F) {
	f.Add(`[{"Victim":"a","Aggressor":"b","Mean":1,"Variance":0.5,"OwnPrecision":3,"OwnWeighted":2}]`)
	f.Add(`[{"Victim":"serving","Aggressor":"f","Mean":-1e308,"Variance":1e-308,"OwnPrecision":1e308,"OwnWeighted":-1e308}]`)
	f.Fuzz(func(t *testing.T, learned string) {
		s, check := newFuzzedShard(t)
		errRestore := s.board.RestoreLearned(s.clock.Now(), []byte(learned))
		errAdopt := s.board.AdoptLearned(s.clock.Now(), "other", []byte(learned))
		require.Equal(t, errRestore == nil, errAdopt == nil)
		s.submit(3, servingStep("serving", 2))
		s.submitTo(lowQueue, 2, fillingStep("f", 4, 300, false))
		s.run(300)
		check()
	})
}

// fuzzedShard drives a board by listings, answers and commits in an order and with contents
// that no worker needs to keep to.
type fuzzedShard struct {
	*shard
	input  []byte
	orders []*Order
	ended  map[string]int64
	born   map[string]dotterclock.Millis
}

// next returns the next number of the input below limit, 0 at its end.
func (f *fuzzedShard) next(limit int) int {
	if len(f.input) == 0 {
		return 0
	}
	b := f.input[0]
	f.input = f.input[1:]
	return int(b) % limit
}

// ref returns a run of one of the jobs, or of none.
func (f *fuzzedShard) ref() dotterrun.Ref {
	task := dotterjob.TaskID{Job: f.job(testQueue, 1+f.next(3), 0, nil).ID, Step: f.next(3), Index: f.next(3), Occurrence: f.next(2)}
	return dotterrun.Ref{Task: task, Run: f.next(3)}
}

// listing passes a listing of a worker to the board.
func (f *fuzzedShard) listing(w string) {
	now := f.clock.Now()
	if f.next(8) == 0 {
		f.born[w]++
		f.ended[w] = 0
	}
	l := dotterrun.Listing{Clock: now - dotterclock.Millis(f.next(100)*20), StartedAt: 1 + f.born[w]}
	for range f.next(4) {
		l.Running = append(l.Running, dotterrun.Running{Ref: f.ref(), Progress: f.next(101), Tail: dotterclock.Millis(f.next(200))})
	}
	endings := []dotterrun.Ending{dotterrun.Done, dotterrun.Failed, dotterrun.Stopped, dotterrun.Lapsed, dotterrun.Broken, dotterrun.Alone, "Other"}
	for range f.next(4) {
		f.ended[w] += int64(f.next(3)) // also a number again
		l.Ended = append(l.Ended, dotterrun.End{Number: f.ended[w], Ref: f.ref(), Ending: endings[f.next(len(endings))]})
	}
	f.board.HandleListing(now, now-dotterclock.Millis(f.next(4)*100), w, l)
}

// answer answers one of the orders, perhaps not the oldest.
func (f *fuzzedShard) answer() {
	if len(f.orders) == 0 {
		return
	}
	i := f.next(len(f.orders))
	o := f.orders[i]
	f.orders = append(f.orders[:i:i], f.orders[i+1:]...)
	refusals := []dotterrun.Refusal{dotterrun.NotRefused, dotterrun.NotRefused, dotterrun.RefusedOld, dotterrun.RefusedLate, dotterrun.RefusedRoom, dotterrun.RefusedBusy, dotterrun.RefusedInvalid}
	var err error
	if f.next(4) == 0 {
		err = errors.New("no answer")
	}
	f.board.OrderAnswered(f.clock.Now(), o, dotterrun.Answer{Clock: f.clock.Now(), Refused: refusals[f.next(len(refusals))]}, err)
}

func (f *fuzzedShard) step() {
	now, w := f.clock.Now(), testWorker(f.next(2)).ID
	switch f.next(8) {
	case 0, 1:
		f.listing(w)
	case 2:
		f.answer()
	case 3:
		f.commit()
	case 4:
		if o, ok := f.board.NextOrder(now, w); ok {
			f.orders = append(f.orders, o)
		}
	case 5:
		f.clock.Advance(dotterclock.Millis(f.next(100) * 40))
	case 6:
		f.board.RenewalFailed(now, w, errors.New("no answer"))
	case 7:
		if f.next(4) == 0 {
			f.board.UpdateDirectory(now, nil)
		}
		f.board.UpdateDirectory(now, f.pool.Listed())
		f.board.SetDirectoryFresh(now)
		f.board.SetCancellationsFresh(now)
	}
	f.board.Renewal(f.clock.Now(), w)
	f.board.Plan(f.clock.Now(), f.clock.Now())
}

// FuzzSequence passes listings, ends, answers, restarts, silence and commits in any order to
// a board. Its counts must agree, no done task may be started again, and only what is stored
// may be acknowledged.
func FuzzSequence(f *testing.F) {
	f.Add([]byte("0123456789"))
	f.Add([]byte{7, 7, 1, 0, 0, 0, 3, 0, 4, 1, 4, 0, 2, 0, 0, 0, 1, 0, 0, 1, 0, 2, 1, 0, 0, 1, 0, 0, 3, 0, 5, 90})
	f.Add([]byte{255, 254, 1, 2, 3, 250, 17, 33, 65, 129, 0, 0, 0, 8, 16, 24, 32, 40, 48, 56, 1, 9, 17, 25, 33, 41, 49, 57})
	f.Fuzz(func(t *testing.T, input []byte) {
		s, check := newFuzzedShard(t)
		d := &fuzzedShard{shard: s, input: input, ended: map[string]int64{}, born: map[string]dotterclock.Millis{}}
		second := tasks(2, 300)
		second.After = []int{0}
		s.submit(1, tasks(2, 300), second)
		s.submit(2, servingStep("serving", 2))
		gang := tasks(2, 300)
		gang.Gang = true
		s.submitTo(lowQueue, 3, gang, fillingStep("f", 2, 300, false))
		s.board.UpdateDirectory(s.clock.Now(), s.pool.Listed())
		s.board.SetDirectoryFresh(s.clock.Now())
		s.board.SetCancellationsFresh(s.clock.Now())
		finished := map[*task]bool{}
		for len(d.input) > 0 {
			d.step()
			check()
			for _, j := range s.board.jobs {
				j.forEachTask(func(task *task) {
					require.False(t, finished[task] && task.phase != done, "%s was done and is %v", task.id(), task.phase)
					finished[task] = task.phase == done
				})
			}
			for _, w := range s.board.workersByID {
				for _, e := range w.unacknowledged {
					require.False(t, e.number <= w.ackUntil && !e.stored, "end %d of %s is acknowledged and not stored", e.number, w.ID)
				}
			}
		}
	})
}
