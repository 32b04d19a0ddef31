package dotterowner

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// takeStatuses takes in what a worker says of the shard's attempts.
func (o *Owner) takeStatuses(w *worker, report dotterattempt.Report, now dotterclock.Millis) {
	clear(w.strays)
	for _, s := range report.Attempts {
		r, ours := w.runs[s.Task]
		if !ours || r.attempt != s.Attempt {
			o.takeStray(w, s)
			continue
		}
		o.takeStatus(r, s, now)
	}
}

// takeStray deals with an attempt that the log doesn't bind to w: an end that
// is logged is acknowledged, and one that runs all the same holds room and is stopped.
func (o *Owner) takeStray(w *worker, s dotterattempt.Status) {
	if s.Phase != dotterattempt.PhaseRunning {
		w.acknowledge(s.Ref)
		return
	}
	w.strays[s.Ref] = s.Size
}

func (w *worker) acknowledge(ref dotterattempt.Ref) {
	for _, e := range w.ends {
		if e == ref {
			return
		}
	}
	w.ends = append(w.ends, ref)
}

func (o *Owner) takeStatus(r *run, s dotterattempt.Status, now dotterclock.Millis) {
	r.size = r.size.Max(s.Size)
	if s.Phase == dotterattempt.PhaseRunning {
		o.confirm(r, now)
		return
	}
	if r.phase == phaseEnded {
		return
	}
	o.endAttempt(r, s, now)
}

// confirm notes that the worker has the attempt, whatever was known of it before.
func (o *Owner) confirm(r *run, now dotterclock.Millis) {
	if r.phase == phaseRunning || r.phase == phaseEnded {
		return
	}
	r.phase = phaseRunning
	if r.startedAt == 0 {
		r.startedAt = now
	}
	o.dirty = true
}

// endAttempt logs the end of an attempt that its worker told of.
func (o *Owner) endAttempt(r *run, s dotterattempt.Status, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok {
		return
	}
	ended := o.endOf(e, s)
	ended.At = now
	o.logEnd(r, ended)
	o.options.Placer.Ended(now, r.worker, e.Task, s)
}

// endOf says what becomes of e's task when its attempt ended as s.
func (o *Owner) endOf(e dotterrecord.Entry, s dotterattempt.Status) dotterrecord.Ended {
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

// afterInterruption returns the state after an attempt that may have had some
// effect but did not finish.
func afterInterruption(e dotterrecord.Entry) dottertask.State {
	if e.Cancelling {
		return dottertask.StateCancelled
	}
	if !e.Task.Repeatable {
		return dottertask.StateOutcomeUnknown
	}
	return dottertask.StateQueued
}

// attemptLost logs the end of an attempt that can't be running any more and of
// which no worker can tell how it ended.
func (o *Owner) attemptLost(r *run, reason string) {
	now := o.options.Clock.Now()
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok || r.phase == phaseEnded {
		return
	}
	ended := dotterrecord.Ended{Task: r.task.ID, Attempt: r.attempt, Reason: reason, At: now}
	ended.State = afterInterruption(e)
	if !e.Task.Repeatable {
		ended.State = dottertask.StateOutcomeUnknown
	}
	status := dotterattempt.Status{Ref: o.ref(r), Phase: dotterattempt.PhaseLapsed, Reason: reason}
	o.logEnd(r, ended)
	o.options.Placer.Ended(now, r.worker, e.Task, status)
}

// attemptReleased logs the end of an attempt that has never started.
func (o *Owner) attemptReleased(r *run, reason string) {
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok || r.phase == phaseEnded {
		return
	}
	state := dottertask.StateQueued
	if e.Cancelling {
		state = dottertask.StateCancelled
	}
	o.logEnd(r, dotterrecord.Ended{
		Task: r.task.ID, Attempt: r.attempt, State: state, Reason: reason, At: o.options.Clock.Now(),
	})
}

func (o *Owner) logEnd(r *run, ended dotterrecord.Ended) {
	r.phase = phaseEnded
	o.dirty = true
	o.propose(change{
		records: []dotterrecord.Record{{Ended: &ended}},
		committed: func() {
			o.options.Metrics.Ends.WithLabelValues(string(ended.State)).Inc()
			o.logger.Debug("Attempt ended", zap.String("Task", string(ended.Task)), zap.Int("Attempt", ended.Attempt),
				zap.String("State", string(ended.State)), zap.String("Reason", ended.Reason))
			o.removeRun(r)
			if w, ok := o.workers[r.worker]; ok {
				w.acknowledge(o.ref(r))
			}
		},
	})
}

// expire ends attempts on workers that can't be asked, once no lease of theirs can be live.
func (o *Owner) expire(now dotterclock.Millis) {
	for _, w := range o.workers {
		if w.failures == 0 || len(w.runs) == 0 {
			continue
		}
		gone := w.gone(now, o.limits)
		if !gone && !w.leasesLapsed(now) {
			continue
		}
		for _, r := range w.ordered() {
			o.expireRun(r, gone, now)
		}
	}
}

func (o *Owner) expireRun(r *run, gone bool, now dotterclock.Millis) {
	if r.phase == phaseAhead || r.phase == phaseReady {
		o.attemptReleased(r, "the worker is unreachable")
		return
	}
	if !r.mayRun() {
		return
	}
	if r.lapsedAt == 0 {
		r.lapsedAt = now
	}
	if !r.task.Repeatable && !gone && now < r.lapsedAt+o.limits.UnknownGrace {
		return
	}
	o.attemptLost(r, "the worker is cut off and its lease is past")
}
