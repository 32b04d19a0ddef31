package dotterboard

import (
	"errors"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// Renewal returns the next renewal to send to the worker, or false if the worker no longer
// needs a session.
func (b *Board) Renewal(now dotterclock.Millis, id string) (dotterrun.Renewal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.workers[id]
	if !ok || (!w.inDirectory && len(w.runs) == 0) || w.replacedAt != 0 && now-w.replacedAt < replacedRetryDelay {
		return dotterrun.Renewal{}, false
	}
	r := dotterrun.Renewal{Epoch: b.epoch, AcknowledgedUntil: w.acknowledged()}
	// The lease of a worker that did not answer is not extended, so that it expires at a
	// known time whether or not the renewals arrive.
	if !w.contacted || w.unansweredSince != 0 {
		return r, true
	}
	r.Wait = w.renewalWait()
	if !w.needsExpiry() {
		r.Until = w.estimatedClock(now) + b.settings.LeaseDuration
		w.leaseUntil = max(w.leaseUntil, r.Until)
	}
	return r, true
}

// EndsStored returns a channel that is closed when the effects of all ends that the worker
// has listed are stored, or nil if they are. Until then the worker answers each renewal at
// once, because it lists ends that are not acknowledged.
func (b *Board) EndsStored(id string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.workers[id]
	if !ok || len(w.unacknowledged) == 0 {
		return nil
	}
	if w.allStored == nil {
		w.allStored = make(chan struct{})
	}
	return w.allStored
}

// RenewalFailed records that a renewal got no answer.
func (b *Board) RenewalFailed(now dotterclock.Millis, id string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.workers[id]
	if !ok {
		return
	}
	// A worker may be silent for a while before a run crashes it.
	if w.closedAt == 0 && errors.Is(err, dotterelusher.ErrWorkerClosed) {
		b.noteClosed(now, w)
	}
	if w.unansweredSince == 0 {
		w.unansweredSince = now
		b.logger.Warn("worker does not answer", zap.String("Worker", id), zap.String("FailureDomain", w.FailureDomain), zap.String("Rack", w.Rack), zap.Int("Runs", len(w.runs)),
			zap.Int64("HeardMsAgo", int64(now-w.heardAt)), zap.Int64("LeaseEndsInMs", int64(w.leaseExpiresAt(b.settings, b.predecessor.until)-now)), zap.Error(err))
	}
}

// HandleListing processes a worker's listing, in answer to a renewal sent at sentAt.
func (b *Board) HandleListing(now, sentAt dotterclock.Millis, id string, l dotterrun.Listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.workers[id]
	if !ok {
		return
	}
	if l.Refused == dotterrun.RefusedEpoch {
		b.deposed = true
		b.notify()
		return
	}
	if l.Refused != dotterrun.NotRefused {
		if !w.renewalRefused {
			w.renewalRefused = true
			b.logger.Warn("renewal refused", zap.String("Worker", id), zap.String("Address", w.Address), zap.String("Refusal", string(l.Refused)),
				zap.Int("Runs", len(w.runs)), zap.Int64("HeardMsAgo", int64(now-w.heardAt)))
		}
		if l.Refused == dotterrun.RefusedIncarnation {
			b.handleReplacement(now, w)
		}
		return
	}
	w.renewalRefused, w.replacedAt = false, 0
	if w.unansweredSince != 0 {
		b.logger.Info("worker answers again", zap.String("Worker", id), zap.Int64("SilentMs", int64(now-w.heardAt)))
	}
	if !w.contacted || w.unansweredSince != 0 {
		b.notify() // the worker can take tasks from now on
	}
	restarted := w.StartedAt != l.StartedAt
	if restarted {
		b.handleRestart(now, w, l.StartedAt)
		w.closedAt = 0
	}
	if !w.contacted || restarted {
		// The previous owner, or an order for the previous incarnation, may have just renewed it.
		w.leaseUntil = max(w.leaseUntil, l.Clock+b.settings.LeaseDuration)
	}
	b.noteReopened(w)
	w.knownAt = w.Address
	w.contacted, w.unansweredSince, w.mayHaveRestarted, w.heardAt = true, 0, false, now
	w.clock, w.clockAt = l.Clock, now
	if sentAt >= b.clocksFrom {
		w.noteClock(now, sentAt, l.Clock)
	}
	b.datePredecessor(now, w)
	w.load = nil
	expired := int64(0)
	w.oldestListed = 0
	for _, e := range l.Ended {
		if e.Ending == dotterrun.Lapsed {
			expired = e.Number
		}
		if w.oldestListed == 0 || e.Number < w.oldestListed {
			w.oldestListed = e.Number
		}
		if l.Clock > w.leaseUntil {
			// No end tells of a lease that expired while nothing ran. Whatever has ended did so under
			// a lease, and none that was ever granted is left.
			expired = max(expired, e.Number+1)
		}
	}
	for _, e := range l.Ended {
		if e.Number > w.lastEnd {
			w.lastEnd = e.Number
			b.contain(e.Ref.Task.Job, func() { b.handleEnd(now, w, e, e.Number < expired) })
		}
	}
	w.releaseIgnored(expired)
	w.advanceAck()
	b.closeBeforeListIsFull(w)
	listed := map[dotterrun.Ref]bool{}
	for _, r := range l.Running {
		listed[r.Ref] = true
		b.contain(r.Task.Job, func() { b.handleRunning(now, w, r) })
	}
	b.forgetUnknownRuns(w, listed)
	w.incomplete, w.listedRuns = l.MoreEnds, len(l.Running)
	for ref, t := range w.runs {
		if !listed[ref] && !l.MoreEnds { // its end may be among those that are not listed yet
			b.contain(ref.Task.Job, func() { b.handleMissing(now, sentAt, w, t) })
		}
	}
	b.containShared("checks of "+w.ID, func() { b.checkRuns(now, w) })
}

// handleRestart processes a restart of the worker, which ended all its runs.
func (b *Board) handleRestart(now dotterclock.Millis, w *worker, startedAt dotterclock.Millis) {
	previousStartedAt := w.StartedAt
	b.forgetUnknownRuns(w, nil)
	w.resetAfterRestart(startedAt)
	if previousStartedAt == 0 {
		return
	}
	b.logger.Info("worker restarted", zap.String("Worker", w.ID), zap.Int("Runs", len(w.runs)), zap.Int64("Born", int64(startedAt)))
	for _, t := range w.runs {
		switch {
		case t.phase == running && t.workerStartedAt == previousStartedAt:
			b.markCrashed(now, w, t, true, "the worker restarted")
		case t.phase == running, t.phase == ordered, t.phase == uncertain:
			if t.phase != running {
				b.recordCrash(now, w, t, true)
			}
			// The start order may have reached the new incarnation, or may yet reach it.
			t.phase, t.validUntil = uncertain, 0
			b.giveUpIfExhausted(now, t)
		}
	}
}

// replacedRetryDelay is the pause between renewals to a worker that another incarnation has
// replaced, until its entry leaves the directory.
const replacedRetryDelay = 1000 * dotterclock.Millisecond

// handleReplacement processes the answer of another incarnation at the worker's address. A
// worker keeps its address for life, so its runs are over, whatever their leases say.
func (b *Board) handleReplacement(now dotterclock.Millis, w *worker) {
	w.replacedAt = now
	if w.Address != w.knownAt {
		return // the directory may list a wrong address
	}
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
	b.forgetUnknownRuns(w, nil)
	w.resetAfterRestart(0)
	for _, t := range w.runs {
		if t.mayHaveReachedWorker() {
			b.markCrashed(now, w, t, true, "another incarnation answers at the worker's address")
		}
	}
	b.notify()
}

// handleRunning processes a run that the worker lists as running.
func (b *Board) handleRunning(now dotterclock.Millis, w *worker, r dotterrun.Running) {
	t := b.boundTask(w, r.Ref)
	if t == nil {
		b.stopUnknownRun(w, r.Ref)
		return
	}
	if t.phase != running {
		b.markRunning(now, t)
	}
	t.workerStartedAt = w.StartedAt
	b.clearIfSound(t)
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt, t.savedAt = r.Checkpoint, now, now
	}
	if r.Progress > t.progress {
		t.progress, t.progressAt = r.Progress, now
	}
	if r.Tail != t.tail || now-t.tailReadAt >= readingInterval {
		t.tail, t.tailReadAt = r.Tail, now
	}
	t.used = r.Used
	if t.stopping && t.stopRetryAt != 0 && now >= t.stopRetryAt {
		t.stopRetryAt = 0
		w.send(&Order{kind: orderStop, task: t, ref: r.Ref})
	}
}

// markRunning records that the worker has started the run.
func (b *Board) markRunning(now dotterclock.Millis, t *task) {
	t.atWorkSince = now
	if t.phase == inherited && t.sentAt != 0 {
		t.atWorkSince = t.sentAt
	}
	t.job().account.Start(&t.account, now)
	b.noteRunsAgain(now, t)
	t.phase, t.inheritedWeight = running, 0
	if t.answeredAt == 0 {
		t.answeredAt = now
	}
	t.startedAt, t.progressAt = now, now
	if b.settings.WeighStops && t.paceUnknown && t.step.Fills {
		b.setPace(t.worker, t, 100) // a previous owner may have slowed the run down
	}
	b.markBegun(t.job())
	if t.job().outcome != "" {
		b.stop(now, t, "job has a final state")
	}
}

// handleMissing processes a bound run of which a listing shows neither the run nor its
// end.
func (b *Board) handleMissing(now, sentAt dotterclock.Millis, w *worker, t *task) {
	switch t.phase {
	case inherited:
		// The renewal raised the epoch on the worker, which now refuses the previous owner's
		// start.
		if w.StartedAt > t.boundAt+b.wallOffset {
			b.markCrashed(now, w, t, true, "the worker restarted before the takeover")
			return
		}
		b.markLost(now, t, "not listed after the takeover")
	case ordered, running:
		if t.answeredAt != 0 && t.answeredAt < sentAt {
			b.markLost(now, t, "listed neither as running nor as ended")
		}
	case uncertain:
		switch {
		case t.stopAnsweredAt != 0 && t.stopAnsweredAt < sentAt:
			b.counters.ResolvedByStop++
			b.markLost(now, t, "unanswered start ruled out by a stop")
		case t.validUntil != 0 && w.clock > t.validUntil:
			b.markLost(now, t, "unanswered start is no longer valid")
		case t.stopRetryAt == 0 || now >= t.stopRetryAt:
			t.stopRetryAt = now + startValidity
			w.send(&Order{kind: orderStop, task: t, ref: t.ref()})
		}
	}
}

// handleEnd processes the end of a run. expired reports whether the worker's lease has
// certainly expired after it.
func (b *Board) handleEnd(now dotterclock.Millis, w *worker, e dotterrun.End, expired bool) {
	pending := &end{worker: w, workerStartedAt: w.StartedAt, number: e.Number}
	w.unacknowledged = append(w.unacknowledged, pending)
	b.counters.Endings[e.Ending]++
	t := b.find(e.Ref.Task)
	if j, ok := b.jobs[e.Ref.Task.Job]; t == nil && ok && j.closed {
		pending.stored = true // the predecessor has stored its effect
		return
	}
	if j, ok := b.jobs[e.Ref.Task.Job]; t == nil && ok && j.hasDone(e.Ref.Task.Occurrence) {
		// It may be acknowledged once it is stored that the occurrence is done.
		j.ends = append(j.ends, pending)
		b.markDirty(j)
		return
	}
	if t == nil {
		// Of a job that the board no longer has. If the job was handed over, the task may
		// have started again, and an end Done may only be acknowledged after the lease has
		// expired.
		pending.ignored = e.Ending == dotterrun.Done && !expired
		pending.stored = !pending.ignored
		return
	}
	j := t.job()
	expired = expired || slices.Contains(t.expiredRuns, e.Ref.Run)
	b.markBegun(j)
	if e.Ending == dotterrun.Done && t.isUnsent() && !t.step.Gang && !t.step.LongRunning {
		b.release(now, t, dotteraccount.Dropped) // the end makes the next run unnecessary
	}
	if e.Ending == dotterrun.Done && t.startedAgain() && t.ref() != e.Ref && !t.step.LongRunning && !expired {
		// The run was taken for lost and the task was started again, but nothing shows
		// that the lease had expired first. The end has no effect. It is not acknowledged
		// before the lease has expired, because an acknowledged end counts as the task's.
		pending.ignored, j.ignoredEnd = true, true
		b.logger.Warn("ignoring the end of a run that was taken for lost", b.runFields(t, zap.Int("EndedRun", e.Ref.Run), zap.String("EndedOn", w.ID))...)
		return
	}
	c := b.markTask(t)
	c.ends = append(c.ends, pending)
	if b.boundTask(w, e.Ref) == t {
		if e.Checkpoint != "" {
			t.checkpoint, t.savedAt = e.Checkpoint, now
		}
		b.endRun(now, w, t, e.Ending)
		return
	}
	if e.Ending != dotterrun.Done || t.startedAgain() {
		return
	}
	if t.step.Gang && !t.step.LongRunning {
		b.completeGang(now, t.step)
	} else if t.phase == waiting {
		b.complete(now, t)
	}
}

// endRun processes the end of a task's current run.
func (b *Board) endRun(now dotterclock.Millis, w *worker, t *task, ending dotterrun.Ending) {
	if ending != dotterrun.Done || t.job().outcome != "" {
		b.logger.Info("run ended", b.runFields(t, zap.String("Ending", string(ending)), zap.Int("Failures", t.failures),
			zap.Int("Progress", t.progress), zap.Int64("RanMs", int64(now-t.startedAt)))...)
	}
	if ending == dotterrun.Done && t.fromScratch && !t.speedObserved && t.pacedAt < t.startedAt {
		b.observeSpeed(now, w, t, now-t.startedAt, 1)
	}
	b.release(now, t, resultOf(ending))
	switch ending {
	case dotterrun.Done:
		w.faults.recordSuccess(now)
		if t.step.Gang {
			b.completeGang(now, t.step)
		} else {
			b.complete(now, t)
		}
	case dotterrun.Failed:
		b.handleFailure(now, w, t)
	case dotterrun.Broken, dotterrun.Alone:
		b.stopGang(now, t.step)
	}
}

// resultOf returns the result of a run for the account of its job.
func resultOf(ending dotterrun.Ending) dotteraccount.Result {
	switch ending {
	case dotterrun.Done:
		return dotteraccount.Done
	case dotterrun.Failed:
		return dotteraccount.Failed
	case dotterrun.Stopped:
		return dotteraccount.Stopped
	}
	return dotteraccount.Lost
}

// complete marks a task done, and finishes the job if no other task is open.
func (b *Board) complete(now dotterclock.Millis, t *task) {
	if t.step.LongRunning {
		return // restarted after any ending
	}
	s := t.step
	b.meter.RecordDone(s.admissionTasks(), dotteradmission.Work(1, s.Size, s.Estimate))
	t.phase = done
	b.markTask(t)
	s.waiting--
	s.done++
	if s.done < s.Count {
		return
	}
	o := s.occurrence
	o.open--
	if o.open > 0 {
		return
	}
	b.closeDone(now, o)
	if o.job.outcome == "" && o.job.isDone() {
		b.finish(now, o.job, dotterjob.Completed, "all tasks are done")
	}
}

// completeGang marks all tasks of a gang done; the ending Done of one member counts for all.
func (b *Board) completeGang(now dotterclock.Millis, s *step) {
	for _, t := range s.allTasks() {
		if t.isBound() {
			t.gangDone = true
			b.release(now, t, dotteraccount.Done)
		}
		if t.phase == waiting {
			b.complete(now, t)
		}
	}
}

// stopGang stops the remaining members of a gang, so that all can start again together.
func (b *Board) stopGang(now dotterclock.Millis, s *step) {
	for _, t := range s.tasks {
		switch {
		case t.phase == bound:
			b.release(now, t, dotteraccount.Dropped)
		case t.isBound():
			b.stop(now, t, "another member of the gang ended")
		}
	}
}

// handleFailure processes a failed run. The more failures the task has had, the less this
// one counts against the worker.
func (b *Board) handleFailure(now dotterclock.Millis, w *worker, t *task) {
	j := t.job()
	if b.countFailure(t) {
		b.counters.FailedAttempts++
		b.logger.Info("attempt failed", zap.String("Job", string(j.ID)), zap.String("Task", t.id().String()), zap.Int("Run", t.run), zap.String("Worker", w.ID),
			zap.Bool("Gang", t.step.Gang), zap.Int("Failures", t.failures), zap.Int("MaxAttempts", j.queue.MaxAttempts))
	}
	if !t.step.Gang || t.step.noteFault(t.run, w) {
		w.faults.addFault(now, 1/float64(t.failures))
	}
	if t.step.Gang {
		b.stopGang(now, t.step)
	}
	if t.step.LongRunning || j.queue.MaxAttempts == 0 || t.failures < j.queue.MaxAttempts || j.outcome != "" {
		return
	}
	name := "task " + t.id().String()
	if t.step.Gang {
		name = "the gang of " + name
	}
	b.finish(now, j, dotterjob.Failed, name+" failed as often as its queue allows, "+strconv.Itoa(t.failures)+" times")
}

// countFailure counts the failed run of a task, and reports whether it is a further attempt. The members of a gang share
// their runs, so a run in which several of them failed is one attempt.
func (b *Board) countFailure(t *task) bool {
	if !t.step.Gang {
		t.failures++
		return true
	}
	failures, last := 0, 0
	for _, member := range t.step.tasks { // parts of their progress may have been stored at different times
		failures, last = max(failures, member.failures), max(last, member.failedRun)
	}
	further := last < t.run
	if further {
		// Earlier versions counted each member that failed, so that the stored count may exceed the number of earlier runs.
		failures = min(failures, t.run-1) + 1
	}
	for _, member := range t.step.allTasks() {
		if member.failures != failures || member.failedRun != t.run {
			member.failures, member.failedRun = failures, t.run
			b.markTask(member)
		}
	}
	return further
}
