package dotterboard

import (
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

// Board is the scheduling state of a shard. It is safe for concurrent use.
type Board struct {
	settings    Settings
	epoch       int64
	ownedSince  dotterclock.Millis // when this owner took over the shard
	predecessor predecessor
	logger      *zap.Logger
	watchers    []chan struct{} // each holds a token after a change
	held        atomic.Int64    // memory that the jobs hold, bytes; read without mu, which a plan holds for long

	mu           sync.Mutex
	document     dotterqueues.Document
	outDomains   map[string]bool // failure domains in which no task may start
	jobs         map[dotterjob.ID]*job
	open         []*job // jobs without a final state, in order of arrival
	dirty        []*job // jobs with changes to store
	workers      map[string]*worker
	workersByID  []*worker      // sorted by ID, which makes plans deterministic
	runs         int            // number of bound tasks
	deposed      bool           // a worker has seen a higher epoch
	learned      loadModel      // interference between images
	slopes       slopeCache     // of learned, for plans
	declared     estimateErrors // accuracy of declared run times
	backlog      float64        // waiting filling tasks; from 1 they count as a queue
	counters     Counters
	reapedAt     dotterclock.Millis            // time of the last reap
	blocked      map[blockedKey][]blockedSize  // sizes for which no worker was found
	waitLogAt    dotterclock.Millis            // when a waiting step was last logged
	expired      []dotterjob.ID                // jobs whose keys can be deleted
	orphans      []PartKey                     // of jobs that have left the shard, to be deleted
	dropped      []dotterjob.ID                // visiting jobs whose keys in this shard can be deleted
	cancelled    map[dotterjob.ID]Cancellation // stored cancellations, in any shard
	absorbed     map[string]dotterclock.Millis // keys of transfers that were applied, and when they were deleted; 0: not yet
	peers        []*peer                       // other shards
	kept         map[string]*keptRoom          // by service
	largestValue int                           // bytes of the largest record or part so far
	unopened     int                           // jobs of which occurrences that are due are not open: see openDue
	excluded     map[dotterjob.ID]bool         // jobs that are left as they are stored
	departed     map[dotterjob.ID]departure    // jobs that have left the shard
	closures     []closure                     // of the last closureRetention
	quota        quota                         // caps of tenants
	meter        *dotteradmission.Meter        // of the work done while there is a backlog
	wallOffset   dotterclock.Millis            // time of day less the owner's clock
	clockOffset  dotterclock.Millis            // the same at the last timestamp
	clocksFrom   dotterclock.Millis            // answers to calls sent before do not tell how clocks differ: see checkSuspension

	ahead    map[string]*dotterlookahead.Book // room reserved for large tasks, by service
	aheadLog reservationLog
	lostLog  lostLog

	searchedAt    map[string]dotterclock.Millis // by service: when room for lost tasks was last searched for
	soughtPeersAt dotterclock.Millis            // when a plan last compared the room for lost tasks here with that of other shards
	freed         []*worker                     // on which room became free since the last plan

	directoryFreshAt     dotterclock.Millis // up to when the directory is known to be complete; 0: it never was
	cancellationsFreshAt dotterclock.Millis // up to when all cancellations are known; 0: they never were
}

// New returns an empty board for the owner with the given epoch. The previous owner may
// have sent orders until predecessorUntil.
func New(settings Settings, epoch int64, now, predecessorUntil dotterclock.Millis, logger *zap.Logger) *Board {
	return &Board{
		settings: settings, epoch: epoch, ownedSince: now, predecessor: predecessor{until: predecessorUntil}, logger: logger,
		jobs: map[dotterjob.ID]*job{}, workers: map[string]*worker{}, outDomains: map[string]bool{}, learned: newLoadModel(), counters: newCounters(),
		blocked: map[blockedKey][]blockedSize{}, cancelled: map[dotterjob.ID]Cancellation{}, absorbed: map[string]dotterclock.Millis{}, kept: map[string]*keptRoom{},
		excluded: map[dotterjob.ID]bool{}, departed: map[dotterjob.ID]departure{}, quota: newQuota(), meter: dotteradmission.NewMeter(),
		ahead: map[string]*dotterlookahead.Book{}, searchedAt: map[string]dotterclock.Millis{},
	}
}

// Subscribe returns a channel that receives a token after each change; tokens of changes
// in quick succession coalesce. It must be called before any other method.
func (b *Board) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	b.watchers = append(b.watchers, changed)
	return changed
}

// notify signals a change to all subscribers.
func (b *Board) notify() {
	for _, changed := range b.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// SetTimeOfDay tells the board the time of day, which stored instants refer to. It must be
// called before Restore.
func (b *Board) SetTimeOfDay(now, wall dotterclock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wallOffset = wall - now
}

// Configure sets the queue configuration and the failure domains that are out of service.
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

// Accept adds a stored job, which was accepted age ago. It does nothing if the board has the
// job, or has had it: a listing of the store may be older than the job's departure.
func (b *Board) Accept(now, age dotterclock.Millis, accepted dotterjob.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.jobs[accepted.ID]; known || b.excluded[accepted.ID] || b.hasDeparted(accepted) {
		return
	}
	if err := accepted.Check(); err != nil {
		b.exclude(accepted.ID, err)
		return
	}
	b.addJob(now, age, accepted).stored = true
	b.applyCancellation(now, accepted.ID)
	b.notify()
}

// addJob adds a job of which nothing has started.
func (b *Board) addJob(now, age dotterclock.Millis, accepted dotterjob.Job) *job {
	queue, ok := b.document.Queue(accepted.Queue)
	if !ok {
		b.logger.Warn("queue of the job is not configured", zap.String("Job", string(accepted.ID)),
			zap.String("Queue", accepted.Queue), zap.Int64("Version", b.document.Version), zap.Bool("SettingsKept", accepted.Settings != nil))
		if accepted.Settings != nil {
			queue = queue.WithSettings(*accepted.Settings)
		}
	}
	j := newJob(accepted, queue, now-max(0, age))
	j.account = dotteraccount.New(now)
	b.insertJob(j)
	b.adoptOrphans(j)
	b.open = append(b.open, j)
	b.noteArrival(j)
	return j
}

// insertJob adds a job to those of the shard.
func (b *Board) insertJob(j *job) {
	b.jobs[j.ID] = j
	b.held.Add(j.footprint)
}

// removeJob removes a job from those of the shard.
func (b *Board) removeJob(j *job) {
	delete(b.jobs, j.ID)
	b.held.Add(-j.footprint)
}

// Held returns about how much memory the jobs hold, also those that are final and still visible, and how
// much they may hold; 0 is no limit. It never waits.
func (b *Board) Held() (held, limit int64) {
	return b.held.Load(), b.settings.MaxJobBytes
}

// Cancellation is the stored end of a job in all shards that have tasks of it.
type Cancellation struct {
	Failed string `json:",omitempty"` // why the job has failed in another shard; empty: cancelled by its caller
}

// Cancel applies a stored cancellation, which may be of a job that another shard has or
// will hand over to this one.
func (b *Board) Cancel(now dotterclock.Millis, id dotterjob.ID, c Cancellation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.cancelled[id]; !known {
		b.cancelled[id] = c
	}
	b.applyCancellation(now, id)
}

// ForgetCancellation records that a cancellation was deleted from the store, which its
// job's home does when nobody asks for the job any more.
func (b *Board) ForgetCancellation(id dotterjob.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cancelled, id)
}

func (b *Board) applyCancellation(now dotterclock.Millis, id dotterjob.ID) {
	j, ok := b.jobs[id]
	c, cancelled := b.cancelled[id]
	switch {
	case !ok || !cancelled || j.outcome != "" || j.leaving:
	case c.Failed != "":
		b.finish(now, j, dotterjob.Failed, c.Failed)
	default:
		b.finish(now, j, dotterjob.Cancelled, "cancelled by its caller")
	}
}

// State returns the visible state of a job and the tenant that it belongs to, or false if the
// board is not the home of the job.
func (b *Board) State(id dotterjob.ID) (state dotterjob.State, tenant string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	if !ok || j.visiting {
		return "", "", false
	}
	return j.state(), j.Tenant, true
}

// Pending returns, by queue, the number of open jobs of which no task has started.
func (b *Board) Pending() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending()
}

// pending returns, by queue, the number of open jobs of which no task has started.
func (b *Board) pending() map[string]int {
	pending := map[string]int{}
	for _, j := range b.open {
		if !j.begun && j.outcome == "" && !j.visiting {
			pending[j.Queue]++
		}
	}
	return pending
}

// Deposed reports whether a worker has refused the owner's epoch for a higher one.
func (b *Board) Deposed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deposed
}

// SetDirectoryFresh tells the board the time up to which the directory is known to be complete.
func (b *Board) SetDirectoryFresh(freshAt dotterclock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.directoryFreshAt = max(b.directoryFreshAt, freshAt)
}

// SetCancellationsFresh tells the board the time up to which it has been told of all cancellations.
func (b *Board) SetCancellationsFresh(freshAt dotterclock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancellationsFreshAt = max(b.cancellationsFreshAt, freshAt)
}

// UpdateDirectory updates the workers from the platform's directory.
func (b *Board) UpdateDirectory(now dotterclock.Millis, listed map[string]dotterworker.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range listed {
		b.updateWorker(now, id, w)
	}
	for id, w := range b.workers {
		if _, ok := listed[id]; !ok && w.inDirectory {
			w.inDirectory, w.absentSince = false, now
			b.logger.Info("worker left the directory", zap.String("Worker", id), zap.Int("Runs", len(w.runs)))
		}
	}
	b.notify()
}

// updateWorker adds or updates a worker from its directory entry.
func (b *Board) updateWorker(now dotterclock.Millis, id string, listed dotterworker.Worker) {
	w, ok := b.workers[id]
	if !ok {
		w = b.addWorker(listed)
	}
	if !w.inDirectory || w.Draining != listed.Draining || w.Address != listed.Address {
		b.logger.Info("worker in the directory", zap.String("Worker", id), zap.String("Address", listed.Address), zap.String("FailureDomain", listed.FailureDomain),
			zap.Bool("Draining", listed.Draining), zap.Bool("New", !ok), zap.Int64("Born", int64(listed.StartedAt)))
	}
	startedAt := w.StartedAt
	w.Worker = listed
	w.StartedAt = startedAt // the incarnation is known only from the worker's own listings
	w.inDirectory = true
}

// addWorker adds a worker of which no listing has been received yet.
func (b *Board) addWorker(listed dotterworker.Worker) *worker {
	w := newWorker(listed)
	w.StartedAt = 0
	w.heardAt = b.ownedSince
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

// Sessions returns the workers that need a session: those in the directory and those that
// may still have runs.
func (b *Board) Sessions() []dotterworker.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sessions []dotterworker.Worker
	for _, w := range b.workersByID {
		if w.Address != "" && (w.inDirectory || len(w.runs) > 0) {
			sessions = append(sessions, w.Worker)
		}
	}
	return sessions
}

// finish sets a job's outcome and, unless the job is completed, stops its runs.
func (b *Board) finish(now dotterclock.Millis, j *job, outcome dotterjob.State, reason string) {
	j.outcome, j.outcomeAt, j.reason = outcome, now, reason
	j.mergeParts()
	_, j.announced = b.cancelled[j.ID]
	b.counters.Outcomes[outcome]++
	level := zap.InfoLevel
	if outcome == dotterjob.Failed {
		level = zap.WarnLevel // is not dropped with the lines of runs that end in a crash
	}
	fields := append(j.closeAccount(now),
		zap.String("Job", string(j.ID)), zap.String("Outcome", string(outcome)),
		zap.String("Reason", reason), zap.Int64("AfterMs", int64(now-j.localAcceptedAt)))
	if j.Tenant != "" {
		fields = append(fields, zap.String("Tenant", j.Tenant), zap.Int64("HeldMs", int64(j.heldTime(now))), zap.Bool("BeyondRate", j.arrival != nil && j.arrival.Beyond))
	}
	b.logger.Log(level, "job decided", fields...)
	if outcome != dotterjob.Completed {
		j.forEachTask(func(t *task) {
			switch {
			case t.phase == bound:
				b.release(now, t, dotteraccount.Dropped)
			case t.isBound():
				b.stop(now, t, reason)
			}
		})
	}
	b.open = deleteJob(b.open, j)
	b.markDirty(j)
}

// markDirty schedules the job's record for one of the next batches.
func (b *Board) markDirty(j *job) {
	j.recordDirty = true
	b.schedule(j)
}

// markTask schedules the progress of the task for one of the next batches, and returns what waits for it.
func (b *Board) markTask(t *task) *changes {
	j := t.job()
	if !j.isDivided() || j.outcome != "" {
		b.markDirty(j)
		return &j.changes
	}
	p := j.part(t.partOf())
	p.dirty = true
	b.schedule(j)
	return &p.changes
}

// markBegun records that a task of the job has started.
func (b *Board) markBegun(j *job) {
	if !j.begun && j.isDivided() {
		b.markDirty(j) // otherwise its record changes with its tasks
	}
	j.begun = true
}

// schedule schedules the job for one of the next batches.
func (b *Board) schedule(j *job) {
	if !j.dirty {
		j.dirty = true
		b.dirty = append(b.dirty, j)
	}
	b.notify()
}

// bind binds the next run of a task to a worker and reserves capacity for it.
func (b *Board) bind(now dotterclock.Millis, t *task, w *worker) {
	t.job().account.Bind(&t.account, now, t.step.readyAt)
	t.run++
	t.moves = 0
	t.phase, t.worker, t.resume = bound, w, t.checkpoint
	t.sentAt, t.atWorkSince, t.inheritedWeight = 0, 0, 0
	t.stopAnsweredAt, t.answeredAt, t.validUntil, t.stopping, t.stopReason, t.stopRetryAt = 0, 0, 0, false, "", 0
	t.progress, t.used, t.tail, t.overTargetSince, t.pace, t.paceWanted = 0, 0, 0, 0, 100, 100
	t.tailReadAt, t.workerStartedAt, t.speedObserved, t.fromScratch = 0, 0, false, t.checkpoint == ""
	t.paceUnknown, t.delay, t.checkpointAt = false, 0, 0
	t.step.waiting--
	t.job().runs++
	b.reserve(w, t)
	w.beginTrial(t)
	w.load = nil
	c := b.markTask(t)
	c.starts = append(c.starts, t)
}

// reserve counts the task's run on the worker and for its tenant.
func (b *Board) reserve(w *worker, t *task) {
	w.reserved = w.reserved.Add(t.step.Reserved())
	w.runs[t.ref()] = t
	b.runs++
	b.quota.uses.Add(t.job().Tenant, t.step.Size, t.step.LongRunning)
}

// unreserve undoes reserve.
func (b *Board) unreserve(w *worker, t *task) {
	delete(w.runs, t.ref())
	b.runs--
	w.reserved = w.reserved.Sub(t.step.Reserved())
	b.noteFreed(w)
	b.quota.uses.Remove(t.job().Tenant, t.step.Size, t.step.LongRunning)
}

// release unbinds a task from its worker. The task is waiting afterwards; result goes into the time
// account of its job.
func (b *Board) release(now dotterclock.Millis, t *task, result dotteraccount.Result) {
	w := t.worker
	t.job().account.End(&t.account, now, t.id(), w.ID, result, t.stopReason)
	t.noteReleased(now, result)
	b.unreserve(w, t)
	w.endTrial(t)
	w.load = nil
	t.worker = nil
	t.phase = waiting
	t.runLost = result == dotteraccount.Lost
	t.step.waiting++
	t.job().runs--
	b.markTask(t)
}

// markLost releases a task whose run is over although no end was listed.
func (b *Board) markLost(now dotterclock.Millis, t *task, reason string) {
	b.counters.Lost++
	b.logger.Info("run lost", b.runFields(t, zap.String("Reason", reason), zap.Int64("HeardMsAgo", int64(now-t.worker.heardAt)),
		zap.Bool("Contacted", t.worker.contacted), zap.Int64("AliveMsAgo", int64(now-t.worker.aliveAt())), zap.Int64("AgeWhenAliveMs", int64(t.worker.aliveAt()-t.sentAt)))...)
	b.release(now, t, dotteraccount.Lost)
}

// stop orders the worker to stop the run of a task, once per run.
func (b *Board) stop(now dotterclock.Millis, t *task, reason string) {
	if t.stopping || !t.mayHaveReachedWorker() {
		return
	}
	t.stopping, t.stopReason = true, reason
	t.stopRetryAt = 0
	b.logger.Info("run stopped", b.runFields(t, zap.String("Reason", reason), zap.Int("Progress", t.progress))...)
	t.worker.send(&Order{kind: orderStop, task: t, ref: t.ref()})
}

// runFields returns more with the log fields that identify the task's run.
func (b *Board) runFields(t *task, more ...zap.Field) []zap.Field {
	return append(more, zap.String("Job", string(t.job().ID)), zap.String("Task", t.id().String()),
		zap.Int("Run", t.run), zap.String("Worker", t.worker.ID))
}

// find returns the task with the given ID, or nil if the board does not have it or its
// occurrence is not open.
func (b *Board) find(id dotterjob.TaskID) *task {
	j, ok := b.jobs[id.Job]
	if !ok {
		return nil
	}
	o := j.occurrence(id.Occurrence)
	if o == nil || id.Step >= len(o.steps) || id.Index >= o.steps[id.Step].Count {
		return nil
	}
	return o.steps[id.Step].task(id.Index)
}

// boundTask returns the task whose current run is ref and is bound to the worker, or nil.
func (b *Board) boundTask(w *worker, ref dotterrun.Ref) *task {
	return w.runs[ref]
}
