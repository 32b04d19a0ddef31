package dotterboard

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Board is the state of a shard, safe for concurrent use.
type Board struct {
	settings Settings
	epoch    int64
	began    dotterclock.Millis // when this owner took the shard over
	former   dotterclock.Millis // until when its predecessor may have renewed leases
	logger   *zap.Logger
	watchers []chan struct{} // each holds one token while something has changed

	mu        sync.Mutex
	document  dotterqueues.Document
	outDomains       map[string]bool // failure domains in which nothing may start
	jobs      map[dotterjob.ID]*job
	open      []*job // jobs that are not final, in the order of arrival
	dirty     []*job
	workers   map[string]*worker
	workersByID     []*worker // workers by id, so that a plan does not depend on the map's order
	deposed   bool
	learned   learned
	declared  declarations
	backlog   float64 // filling tasks that wait; 1 from which they count as a queue
	counters  Counters
	settledAt dotterclock.Millis // when it was last looked for what is over
	blocked   map[blockedKey][]blockedSize
	waitLogAt dotterclock.Millis // when a waiting step was logged last
	expired   []dotterjob.ID     // final jobs whose record can go
}

// New returns an empty board of the owner with the epoch, whose predecessor may go
// on renewing leases until the instant former.
func New(settings Settings, epoch int64, now, former dotterclock.Millis, logger *zap.Logger) *Board {
	return &Board{
		settings: settings, epoch: epoch, began: now, former: former, logger: logger,
		jobs: map[dotterjob.ID]*job{}, workers: map[string]*worker{}, outDomains: map[string]bool{}, learned: newLearned(), counters: newCounters(),
		blocked: map[blockedKey][]blockedSize{},
	}
}

// Subscribe returns a channel that holds a token once something has changed. It
// must be called before the board is used.
func (b *Board) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	b.watchers = append(b.watchers, changed)
	return changed
}

func (b *Board) notify() {
	for _, changed := range b.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// Configure takes in a configuration and the failure domains that are out.
func (b *Board) Configure(document dotterqueues.Document, out map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.document, b.outDomains = document, out
	for _, j := range b.open {
		if q, ok := document.Queue(j.Queue); ok {
			j.queue = q
		}
	}
	b.notify()
}

// Accept takes in a job that the store has; a known one is left as it is. age is
// how long ago it was accepted.
func (b *Board) Accept(now, age dotterclock.Millis, accepted dotterjob.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.jobs[accepted.ID]; known {
		return
	}
	queue, ok := b.document.Queue(accepted.Queue)
	if !ok {
		b.logger.Warn("job of a queue that the configuration lacks", zap.String("Job", string(accepted.ID)),
			zap.String("Queue", accepted.Queue), zap.Int64("Version", b.document.Version))
	}
	j := newJob(accepted, queue, now-max(0, age))
	b.jobs[j.ID] = j
	b.open = append(b.open, j)
	b.notify()
}

// Cancel takes in a cancellation that the store has.
func (b *Board) Cancel(now dotterclock.Millis, id dotterjob.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j, ok := b.jobs[id]; ok && j.outcome == "" {
		b.finish(now, j, dotterjob.Cancelled, "cancelled by its caller")
	}
}

// State returns the state of a job, or false if there is no such job here.
func (b *Board) State(id dotterjob.ID) (dotterjob.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	if !ok {
		return "", false
	}
	return j.state(), true
}

// Pending returns how many jobs of each queue have no task started.
func (b *Board) Pending() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := map[string]int{}
	for _, j := range b.open {
		if !j.begun && j.outcome == "" {
			pending[j.Queue]++
		}
	}
	return pending
}

// Deposed reports whether a worker has seen a higher epoch than the owner's.
func (b *Board) Deposed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deposed
}

// UpdateDirectory takes in the workers that the platform lists.
func (b *Board) UpdateDirectory(now dotterclock.Millis, listed map[string]dotterworker.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range listed {
		b.list(now, id, w)
	}
	for id, w := range b.workers {
		if _, ok := listed[id]; !ok && w.listed {
			w.listed, w.missingAt = false, now
			b.logger.Info("worker left the directory", zap.String("Worker", id), zap.Int("Runs", len(w.runs)))
		}
	}
	b.notify()
}

func (b *Board) list(now dotterclock.Millis, id string, listed dotterworker.Worker) {
	w, ok := b.workers[id]
	if !ok {
		w = b.addWorker(listed)
	}
	if !w.listed || w.Draining != listed.Draining || w.Address != listed.Address {
		b.logger.Info("worker in the directory", zap.String("Worker", id), zap.String("FailureDomain", listed.FailureDomain),
			zap.Bool("Draining", listed.Draining), zap.Bool("New", !ok), zap.Int64("Born", int64(listed.Born)))
	}
	born := w.Born
	w.Worker = listed
	w.Born = born // only its own listings tell which life it is in
	w.listed = true
}

func (b *Board) addWorker(listed dotterworker.Worker) *worker {
	w := newWorker(listed)
	w.Born = 0
	w.heardAt = b.began
	b.workers[listed.ID] = w
	i, _ := slices.BinarySearchFunc(b.workersByID, listed.ID, func(w *worker, id string) int {
		if w.ID < id {
			return -1
		}
		if w.ID > id {
			return 1
		}
		return 0
	})
	b.workersByID = slices.Insert(b.workersByID, i, w)
	return w
}

// Sessions returns the workers that need a session: those listed and those that may still run something.
func (b *Board) Sessions() []dotterworker.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sessions []dotterworker.Worker
	for _, w := range b.workersByID {
		if w.Address != "" && (w.listed || len(w.runs) > 0) {
			sessions = append(sessions, w.Worker)
		}
	}
	return sessions
}

// finish decides a job's outcome and has its runs stopped.
func (b *Board) finish(now dotterclock.Millis, j *job, outcome dotterjob.State, reason string) {
	j.outcome, j.outcomeAt = outcome, now
	b.counters.Outcomes[outcome]++
	b.logger.Info("job decided", zap.String("Job", string(j.ID)), zap.String("Outcome", string(outcome)),
		zap.String("Reason", reason), zap.Int64("AfterMs", int64(now-j.seenAt)))
	if outcome != dotterjob.Completed {
		j.tasks(func(t *task) {
			switch {
			case t.phase == bound:
				b.release(t)
			case t.isBound():
				b.stop(now, t, reason)
			}
		})
	}
	b.open = deleteJob(b.open, j)
	b.touch(j)
}

// touch has the job's record written with the next batch.
func (b *Board) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		b.dirty = append(b.dirty, j)
	}
	b.notify()
}

// bind reserves room for the next run of a task on a worker.
func (b *Board) bind(t *task, w *worker) {
	t.run++
	t.phase, t.worker = bound, w
	t.sealedAt, t.answeredAt, t.validUntil, t.stopping, t.stopAgain = 0, 0, 0, false, 0
	t.progress, t.used, t.tail, t.overSince, t.pace, t.paceWanted = 0, 0, 0, 0, 100, 100
	t.tailAt, t.bornAt, t.timed, t.fresh = 0, 0, false, t.checkpoint == ""
	t.step.waiting--
	t.job().runs++
	w.reserved = w.reserved.Add(t.step.Reserved())
	w.runs[t.ref()] = t
	w.load = nil
	j := t.job()
	j.starts = append(j.starts, t)
	b.touch(j)
}

// release takes a task off its worker; it waits again unless it is done.
func (b *Board) release(t *task) {
	w := t.worker
	delete(w.runs, t.ref())
	w.reserved = w.reserved.Sub(t.step.Reserved())
	w.load = nil
	t.worker = nil
	t.phase = waiting
	t.step.waiting++
	t.job().runs--
	b.touch(t.job())
}

// lose releases a task whose run has ended without an end being listed.
func (b *Board) lose(now dotterclock.Millis, t *task, reason string) {
	b.counters.Lost++
	b.logger.Info("run lost", b.runFields(t, zap.String("Reason", reason), zap.Int64("HeardMsAgo", int64(now-t.worker.heardAt)))...)
	b.release(t)
}

// stop orders the run of a task to end.
func (b *Board) stop(now dotterclock.Millis, t *task, reason string) {
	if t.stopping || !t.sent() {
		return
	}
	t.stopping = true
	t.stopAgain = 0
	b.logger.Info("run stopped", b.runFields(t, zap.String("Reason", reason), zap.Int("Progress", t.progress))...)
	t.worker.send(&Order{kind: orderStop, task: t, ref: t.ref()})
}

func (b *Board) runFields(t *task, more ...zap.Field) []zap.Field {
	return append(more, zap.String("Job", string(t.job().ID)), zap.String("Task", t.id().String()),
		zap.Int("Run", t.run), zap.String("Worker", t.worker.ID))
}

// find returns the task that a run belongs to, or nil.
func (b *Board) find(id dotterjob.TaskID) *task {
	j, ok := b.jobs[id.Job]
	if !ok || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// bindingOf returns the task that the run is the present run of on the worker, or nil.
func (b *Board) bindingOf(w *worker, ref dotterrun.Ref) *task {
	return w.runs[ref]
}
