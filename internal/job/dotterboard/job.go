package dotterboard

import (
	"math/bits"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

// smallestClassMilliCores is the upper bound of the smallest size class, in thousandths of a
// core: tasks below it fit into the gaps that are usually left on a full worker.
const smallestClassMilliCores = 6_000

// job is an accepted job and its progress.
type job struct {
	dotterjob.Job
	queue           dotterqueues.Queue // its configuration, as last received
	localAcceptedAt dotterclock.Millis // when the job was accepted, on the owner's clock
	occurrences     []*occurrence      // opened ones by number; those of a scheduled job only until they are done
	next            int                // number of the first occurrence that was never opened
	criticalPath    dotterclock.Millis // length of its critical path, as declared
	footprint       int64              // memory that it holds, bytes
	outcome         dotterjob.State    // final state, not necessarily stored yet; empty: not final
	outcomeAt       dotterclock.Millis
	reason          string             // of the outcome
	announced       bool               // its cancellation is stored
	storedOutcome   dotterjob.State    // final state once it is stored; empty before
	begun           bool               // whether a task has started
	runs            int                // number of bound tasks
	idleSince       dotterclock.Millis // since when it has had ready tasks and none bound; 0: a task is bound or none is ready
	visiting        bool               // its home is another shard; only some of its tasks are here
	away            int                // number of tasks handed over to other shards
	moves           int                // how often all of it was handed over
	leaving         bool               // all of it was handed over, which is not stored yet
	stored          bool               // the job itself is stored under this shard
	closed          bool               // the job itself is no longer stored, only its outcome
	ignoredEnd      bool               // an end of its runs was ignored: see handleEnd
	dirty           bool               // in Board.dirty
	recordDirty     bool               // whether its record has changed; parts are marked on their own
	changes                            // that wait for its record
	outgoing        []*Transfer        // handed over since the last batch
	incoming        []incoming         // applied since the last batch
	perOccurrence   int                // number of tasks of an occurrence
	firstOfStep     []int              // by step: how many tasks the steps before it have
	parts           map[int]*part      // by number: those stored or with changes; see isDivided
	kept            map[int]bool       // numbers of parts that the record holds until they have a key of their own
	account         dotteraccount.Account

	arrival       *dotterquota.Arrival // for the rate of its tenant; nil: it belongs to none
	heldFor       dotterclock.Millis   // for which its tenant's cap has held tasks, without holds that go on
	deprioritized bool                 // whether it was counted as one that goes after others for that rate
}

// step is one step of one occurrence, with its tasks.
type step struct {
	dotterjob.Step
	occurrence    *occurrence
	number        int
	tasks         []*task            // from index 0 on; those beyond are waiting and were never bound
	waiting       int                // number of tasks neither bound nor done
	done          int                // number of tasks done
	readyAt       dotterclock.Millis // when a plan first found the step ready; 0: not yet
	waitingSince  dotterclock.Millis // since when plans have left tasks of the ready step waiting; 0: none waits
	heldSince     dotterclock.Millis // since when the cap of its tenant has kept tasks from starting; 0: it does not
	shortSince    dotterclock.Millis // since when none has started because the shard's part of that cap is too small; 0: it is not
	remainingPath dotterclock.Millis // declared length of the critical path that begins with this step
	samples       []slowdownSample   // run times of its tasks relative to the estimate
	userLoad      trend              // of a serving step: the load caused by its users
	imageNumber   int                // of its image in Board.slopes
	imageEpoch    int                // of Board.slopes, for which imageNumber holds
	position      int                // in the order of the last plan with look-ahead
	aheadID       dotterlookahead.ID // its name in the book of reservations; empty: it never asked for one
	tickets       *tickets           // admission tickets; used if the queue has an admission policy
	faultsOfRun   int                // of a gang: the run of which this owner counted the last fault of a worker; 0: none
	faultsOn      []*worker          // on which it counted a fault of that run
}

func newJob(j dotterjob.Job, queue dotterqueues.Queue, localAcceptedAt dotterclock.Millis) *job {
	created := &job{Job: j, queue: queue, localAcceptedAt: localAcceptedAt, criticalPath: j.CriticalPath(), footprint: j.Footprint()}
	for _, s := range j.Steps {
		created.firstOfStep = append(created.firstOfStep, created.perOccurrence)
		created.perOccurrence += s.Count
	}
	created.recordDirty = created.isDivided() // the first part is stored with the record
	if j.Times == 0 {
		created.openNext()
	}
	return created
}

func newStep(o *occurrence, number int, s dotterjob.Step) *step {
	return &step{Step: s, occurrence: o, number: number, waiting: s.Count, remainingPath: criticalPathFrom(o.job.Steps, number)}
}

// task returns a task of the step, and creates it and all before it if need be.
func (s *step) task(index int) *task {
	for i := len(s.tasks); i <= index; i++ {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s.tasks[index]
}

// allTasks returns all tasks of the step, and creates those that do not exist yet.
func (s *step) allTasks() []*task {
	s.task(s.Count - 1)
	return s.tasks
}

// noteFault records that a member of the gang failed on the worker in a run, and reports whether no other member did so before.
func (s *step) noteFault(run int, w *worker) bool {
	if s.faultsOfRun != run {
		s.faultsOfRun, s.faultsOn = run, nil
	}
	if slices.Contains(s.faultsOn, w) {
		return false
	}
	s.faultsOn = append(s.faultsOn, w)
	return true
}

// sizeClass returns the binary size class of the processor time that a task of the step
// reserves. Filling tasks reserve none.
func (s *step) sizeClass() int {
	return bits.Len64(uint64(s.Reserved().MilliCores / smallestClassMilliCores))
}

// waitFields returns log fields that tell whether the waiting step lasts and for how long it has waited.
func (s *step) waitFields(now dotterclock.Millis) []zap.Field {
	waited := dotterclock.Millis(0)
	if s.waitingSince != 0 {
		waited = now - s.waitingSince
	}
	return []zap.Field{zap.Bool("LongRunning", s.LongRunning), zap.Bool("Restarting", s.restarting()), zap.Int64("WaitedMs", int64(waited))}
}

// waitingRoom returns the declared size of all waiting tasks together.
func (s *step) waitingRoom() dotterroom.Room {
	n := int64(s.waiting)
	return dotterroom.Room{MilliCores: n * s.Size.MilliCores, MemoryMB: n * s.Size.MemoryMB, Accelerators: n * s.Size.Accelerators}
}

// ready reports whether the step is due and the steps that it depends on are done.
func (s *step) ready(wall dotterclock.Millis) bool {
	if s.occurrence.due > wall {
		return false
	}
	for _, after := range s.After {
		if before := s.occurrence.steps[after]; before.done < before.Count {
			return false
		}
	}
	return true
}

// state returns the state that is visible to callers.
func (j *job) state() dotterjob.State {
	switch {
	case j.storedOutcome != "":
		return j.storedOutcome
	case j.begun:
		return dotterjob.Running
	}
	return dotterjob.Queued
}

// canClose reports whether only the job's outcome needs to be stored: it is final, no run or
// other shard can refer to its steps any more, and a successor may acknowledge all ends of its
// runs.
func (j *job) canClose() bool {
	return j.outcome != "" && j.runs == 0 && j.away == 0 && !j.visiting && !j.leaving && !j.ignoredEnd
}

// closeAccount returns the time account of the job, which is decided now, as log fields.
func (j *job) closeAccount(now dotterclock.Millis) []zap.Field {
	closed := j.account
	j.forEachTask(func(t *task) {
		if t.phase != done && t.phase != away {
			closed.Close(&t.account, now, t.step.readyAt)
		}
	})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for range s.Count - len(s.tasks) {
				closed.Close(&dotteraccount.Task{}, now, s.readyAt)
			}
		}
	}
	return closed.Fields(j.localAcceptedAt, now)
}

// forEachTask calls visit for each task that exists: tasks of occurrences that are not open, and
// those that were never bound, may not.
func (j *job) forEachTask(visit func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				visit(t)
			}
		}
	}
}

// countDone returns how many of the job's tasks are done, in open occurrences and in earlier ones.
func (j *job) countDone() int {
	n := 0
	j.doneOccurrences(func(int) { n += j.perOccurrence })
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			n += s.done
		}
	}
	return n
}

// criticalPathFrom returns the length of the longest chain of dependent steps that begins
// with the step of the given number, as the sum of their estimates.
func criticalPathFrom(steps []dotterjob.Step, number int) dotterclock.Millis {
	lengths := make([]dotterclock.Millis, len(steps))
	longest := dotterclock.Millis(0)
	lengths[number] = steps[number].Estimate
	for i := number; i < len(steps); i++ {
		for _, after := range steps[i].After {
			if lengths[after] > 0 {
				lengths[i] = max(lengths[i], lengths[after]+steps[i].Estimate)
			}
		}
		longest = max(longest, lengths[i])
	}
	return longest
}

// releaseTime returns the instant from which the occurrence's callers wait for it: when
// it was due, or else when the job was accepted.
func (o *occurrence) releaseTime(wall, now dotterclock.Millis) dotterclock.Millis {
	if o.due > 0 {
		return now + o.due - wall
	}
	return o.job.localAcceptedAt
}

// objective returns the instant by which the occurrence should be done, as its queue
// declares.
func (o *occurrence) objective(wall, now dotterclock.Millis) dotterclock.Millis {
	return o.releaseTime(wall, now) + o.job.queue.Objective(o.job.criticalPath)
}

// deleteJob returns jobs without j.
func deleteJob(jobs []*job, j *job) []*job {
	return slices.DeleteFunc(jobs, func(other *job) bool { return other == j })
}
