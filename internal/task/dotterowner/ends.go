package dotterowner

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// handleStatuses processes a worker's report of the shard's attempts.
func (o *Owner) handleStatuses(w *worker, report dotterattempt.Report, now dotterclock.Millis) {
	clear(w.orphans)
	for _, s := range report.Attempts {
		a, bound := w.attempts[s.Task]
		if !bound || a.number != s.Attempt {
			o.handleOrphan(w, s)
			continue
		}
		o.handleStatus(a, s, now)
	}
}

// handleOrphan handles an attempt that the log doesn't bind to w. One that has
// ended is acknowledged. One that is still running holds capacity until it is stopped.
func (o *Owner) handleOrphan(w *worker, s dotterattempt.Status) {
	if s.Phase != dotterattempt.PhaseRunning {
		w.acknowledge(s.Ref)
		return
	}
	w.orphans[s.Ref] = s.Size
}

func (w *worker) acknowledge(ref dotterattempt.Ref) {
	for _, e := range w.unacknowledgedEnds {
		if e == ref {
			return
		}
	}
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, ref)
}

func (o *Owner) handleStatus(a *attempt, s dotterattempt.Status, now dotterclock.Millis) {
	a.size = a.size.Max(s.Size)
	if s.Phase == dotterattempt.PhaseRunning {
		o.confirmRunning(a, now)
		a.sound = a.sound || now-a.startedAt >= soundAge
		return
	}
	if a.phase == phaseEnded {
		return
	}
	o.endAttempt(a, s, now)
}

// confirmRunning records that the worker is running the attempt.
func (o *Owner) confirmRunning(a *attempt, now dotterclock.Millis) {
	if a.phase == phaseRunning || a.phase == phaseEnded {
		return
	}
	a.phase = phaseRunning
	if a.startedAt == 0 {
		a.startedAt = now
	}
	o.dirty = true
}

// endAttempt logs the end of an attempt that its worker reported as ended.
func (o *Owner) endAttempt(a *attempt, s dotterattempt.Status, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok {
		return
	}
	ended := o.endRecord(e, s)
	ended.At = now
	o.logEnd(a, ended)
	o.options.Placer.RecordEnd(now, a.worker, e.Task, s)
}

// endRecord returns the log record for the end s of e's attempt, with the state that
// the task goes to.
func (o *Owner) endRecord(e dotterrecord.Entry, s dotterattempt.Status) dotterrecord.Ended {
	ended := dotterrecord.Ended{
		Task: s.Task, Attempt: s.Attempt, Reason: s.Reason, Checkpoint: s.Checkpoint, RanMillis: s.RanMillis,
	}
	switch s.Phase {
	case dotterattempt.PhaseDone:
		ended.State = dottertask.StateDone
	case dotterattempt.PhaseFailed:
		ended.Failed = true
		ended.State = o.afterFailure(e)
	case dotterattempt.PhaseStopped, dotterattempt.PhaseCheckpointed:
		ended.State = afterInterruption(e)
	default:
		ended.State = afterInterruption(e)
		if ended.Reason == "" {
			ended.Reason = "the worker's lease lapsed"
		}
	}
	return ended
}

func (o *Owner) afterFailure(e dotterrecord.Entry) dottertask.State {
	if e.Cancelling {
		return dottertask.StateCancelled
	}
	if !e.Task.Repeatable || e.Failures+1 >= o.maxAttempts(e.Task.Template) {
		return dottertask.StateFailed
	}
	return dottertask.StateQueued
}

// afterInterruption returns the state of the task after an attempt that did not
// finish but may have had side effects.
func afterInterruption(e dotterrecord.Entry) dottertask.State {
	if e.Cancelling {
		return dottertask.StateCancelled
	}
	if !e.Task.Repeatable {
		return dottertask.StateOutcomeUnknown
	}
	return dottertask.StateQueued
}

// endLost logs the end of an attempt that can no longer be running and whose
// outcome no worker can report. replacedOn is its worker if the worker's process was
// replaced since the attempt was reserved there, or nil.
func (o *Owner) endLost(a *attempt, reason string, replacedOn *worker) {
	now := o.options.Clock.Now()
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok || a.phase == phaseEnded {
		return
	}
	ended := dotterrecord.Ended{Task: a.task.ID, Attempt: a.number, Reason: reason, At: now}
	ended.State = afterInterruption(e)
	if !e.Task.Repeatable {
		ended.State = dottertask.StateOutcomeUnknown
	}
	if replacedOn != nil {
		o.countCrash(replacedOn, a, e, &ended)
	} else if !a.sound {
		ended.Crashes = e.Crashes // a silent worker tells nothing
	}
	status := dotterattempt.Status{Ref: o.ref(a), Phase: dotterattempt.PhaseLapsed, Reason: reason}
	o.logEnd(a, ended)
	o.options.Placer.RecordEnd(now, a.worker, e.Task, status)
}

// endUnstarted logs the end of an attempt that never started.
func (o *Owner) endUnstarted(a *attempt, reason string) {
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok || a.phase == phaseEnded {
		return
	}
	state := dottertask.StateQueued
	if e.Cancelling {
		state = dottertask.StateCancelled
	}
	o.logEnd(a, dotterrecord.Ended{
		Task: a.task.ID, Attempt: a.number, State: state, Reason: reason, Crashes: e.Crashes, At: o.options.Clock.Now(),
	})
}

func (o *Owner) logEnd(a *attempt, ended dotterrecord.Ended) {
	a.phase = phaseEnded
	o.dirty = true
	o.propose(change{
		records: []dotterrecord.Record{{Ended: &ended}},
		committed: func() {
			o.options.Metrics.Ends.WithLabelValues(string(ended.State)).Inc()
			o.logger.Debug("Attempt ended", zap.String("Task", string(ended.Task)), zap.Int("Attempt", ended.Attempt),
				zap.String("State", string(ended.State)), zap.String("Reason", ended.Reason))
			o.removeAttempt(a)
			if w, ok := o.workers[a.worker]; ok {
				w.acknowledge(o.ref(a))
			}
		},
	})
}

// expireLeases ends the attempts on unreachable workers whose leases have all
// expired or that the platform has removed.
func (o *Owner) expireLeases(now dotterclock.Millis) {
	for _, w := range o.workers {
		if w.failures == 0 || len(w.attempts) == 0 {
			continue
		}
		removed := w.removedByPlatform(now, o.limits)
		if !removed && !w.leasesExpired(now) {
			continue
		}
		for _, a := range w.sortedAttempts() {
			o.expireAttempt(a, removed, now)
		}
	}
}

func (o *Owner) expireAttempt(a *attempt, workerRemoved bool, now dotterclock.Millis) {
	if a.phase == phasePreassigned || a.phase == phaseReady {
		o.endUnstarted(a, "the worker is unreachable")
		return
	}
	if !a.mayBeRunning() {
		return
	}
	if a.expiredAt == 0 {
		a.expiredAt = now
	}
	if !a.task.Repeatable && !workerRemoved && now < a.expiredAt+o.limits.UnknownOutcomeGrace {
		return
	}
	o.endLost(a, "the worker is cut off and its lease is past", nil)
}
