package dotterowner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// sendStart sends the start of the next ready attempt to w.
func (o *Owner) sendStart(w *worker, now dotterclock.Millis) {
	if !o.usable(w) {
		return
	}
	for _, a := range w.sortedAttempts() {
		if a.phase != phaseReady {
			continue
		}
		if allowed, _ := o.startAllowed(a.task); !allowed {
			a.phase = phasePreassigned
			o.dirty = true
			continue
		}
		if o.start(w, a, now) {
			return
		}
	}
}

// start sends the start of a and reports whether it was sent.
func (o *Owner) start(w *worker, a *attempt, now dotterclock.Millis) bool {
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok || !e.Bound() || e.Task.Attempt != a.number {
		return false
	}
	if e.Incarnation != w.incarnation {
		o.endUnstarted(a, "the worker has restarted")
		return false
	}
	if e.Cancelling {
		o.endUnstarted(a, "cancelled")
		return false
	}
	if w.free().MilliCores < 0 || w.free().MemoryMB < 0 || w.free().Accelerators < 0 {
		a.phase = phasePreassigned
		return false
	}
	a.phase = phaseSending
	a.latestStart = w.clockAt(now) + o.limits.StartWindow
	command := dotterattempt.Start{
		Ref:         o.ref(a),
		Epoch:       o.log.Epoch(),
		Incarnation: e.Incarnation,
		LatestStart: a.latestStart,
		Lease:       o.limits.LeaseDuration,
		Size:        a.size,
		Template:    e.Task.Template,
		RunMillis:   e.Task.RunMillis,
		Payload:     e.Task.Payload,
		ResumeFrom:  e.Task.Checkpoint,
		Critical:    e.Task.Critical,
	}
	w.noteStartSent(now, o.limits)
	o.logDecision(a)
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Start(ctx, address, command)
	}, func(report dotterattempt.Report, err error) {
		o.handleStartReply(w, a, report, err)
	})
	return true
}

func (o *Owner) handleStartReply(w *worker, a *attempt, report dotterattempt.Report, err error) {
	now := o.options.Clock.Now()
	if a.phase != phaseSending {
		return
	}
	switch {
	case errors.Is(err, dotterelusher.ErrWorkerUnreachable):
		o.countStart("Unreachable")
		a.phase = phaseReady
	case err != nil:
		o.countStart("Indeterminate")
		a.phase = phaseUncertain
		w.needsInventory = true
	case report.Refused != "" && report.Clock > a.latestStart:
		o.countStart("Late")
		a.phase = phaseReady
	case report.Refused != "":
		o.countStart("Refused")
		o.handleRefusedStart(a, report.Refused, now)
	default:
		o.countStart("Done")
		o.confirmRunning(a, now)
		o.handleOwnStatus(w, a, report, now)
		w.nextRenewal = min(w.nextRenewal, o.nextRenewal(w, now))
	}
}

// handleOwnStatus processes the status of a in the reply to a command for a.
func (o *Owner) handleOwnStatus(w *worker, a *attempt, report dotterattempt.Report, now dotterclock.Millis) {
	for _, s := range report.Attempts {
		if s.Ref == o.ref(a) && w.attempts[s.Task] == a {
			o.handleStatus(a, s, now)
		}
	}
}

// handleRefusedStart ends an attempt whose start was refused by its worker.
func (o *Owner) handleRefusedStart(a *attempt, reason string, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok {
		return
	}
	o.endUnstarted(a, "the worker refused the start: "+reason)
	status := dotterattempt.Status{Ref: o.ref(a), Phase: dotterattempt.PhaseFailed, Reason: "start refused: " + reason}
	o.options.Placer.RecordEnd(now, a.worker, e.Task, status)
}

func (o *Owner) countStart(outcome string) {
	o.options.Metrics.Starts.WithLabelValues(outcome).Inc()
}

// logDecision writes the log line of a placement decision.
func (o *Owner) logDecision(a *attempt) {
	o.logger.Info("Task placed",
		zap.String("Task", string(a.task.ID)),
		zap.Int("Attempt", a.number),
		zap.String("Target", a.worker),
		zap.String("Reason", a.reason),
		zap.Int64("Revision", o.document.Revision))
}
