package dotterowner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// sendStart sends the next ready attempt to w.
func (o *Owner) sendStart(w *worker, now dotterclock.Millis) {
	if !o.usable(w) {
		return
	}
	for _, r := range w.ordered() {
		if r.phase != phaseReady {
			continue
		}
		if allowed, _ := o.startAllowed(r.task); !allowed {
			r.phase = phaseAhead
			o.dirty = true
			continue
		}
		if o.start(w, r, now) {
			return
		}
	}
}

// start sends r and reports whether it did.
func (o *Owner) start(w *worker, r *run, now dotterclock.Millis) bool {
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok || !e.Bound() || e.Task.Attempt != r.attempt {
		return false
	}
	if e.Incarnation != w.incarnation {
		o.attemptReleased(r, "the worker has restarted")
		return false
	}
	if e.Cancelling {
		o.attemptReleased(r, "cancelled")
		return false
	}
	if w.free().MilliCores < 0 || w.free().MemoryMB < 0 || w.free().Accelerators < 0 {
		r.phase = phaseAhead
		return false
	}
	r.phase = phaseSending
	r.latestStart = w.clockAt(now) + o.limits.StartWindow
	command := dotterattempt.Start{
		Ref:         o.ref(r),
		Epoch:       o.log.Epoch(),
		Incarnation: e.Incarnation,
		LatestStart: r.latestStart,
		Lease:       o.limits.Lease,
		Size:        r.size,
		Template:    e.Task.Template,
		RunMillis:   e.Task.RunMillis,
		Payload:     e.Task.Payload,
		ResumeFrom:  e.Task.Checkpoint,
		Critical:    e.Task.Critical,
	}
	w.noteStartSent(now, o.limits)
	o.logDecision(r)
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Start(ctx, address, command)
	}, func(report dotterattempt.Report, err error) {
		o.started(w, r, report, err)
	})
	return true
}

func (o *Owner) started(w *worker, r *run, report dotterattempt.Report, err error) {
	now := o.options.Clock.Now()
	if r.phase != phaseSending {
		return
	}
	switch {
	case errors.Is(err, dotterelusher.ErrWorkerUnreachable):
		o.countStart("Unreachable")
		r.phase = phaseReady
	case err != nil:
		o.countStart("Indeterminate")
		r.phase = phaseUncertain
		w.suspect = true
	case report.Refused != "" && report.Clock > r.latestStart:
		o.countStart("Late")
		r.phase = phaseReady
	case report.Refused != "":
		o.countStart("Refused")
		o.refusedStart(r, report.Refused, now)
	default:
		o.countStart("Done")
		o.confirm(r, now)
		o.takeOwnStatus(w, r, report, now)
		w.nextRenewal = min(w.nextRenewal, o.nextRenewal(w, now))
	}
}

// takeOwnStatus takes in what an answer to a command says of the attempt that it was about.
func (o *Owner) takeOwnStatus(w *worker, r *run, report dotterattempt.Report, now dotterclock.Millis) {
	for _, s := range report.Attempts {
		if s.Ref == o.ref(r) && w.runs[s.Task] == r {
			o.takeStatus(r, s, now)
		}
	}
}

// refusedStart ends an attempt that its worker refused; it has never started.
func (o *Owner) refusedStart(r *run, reason string, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok {
		return
	}
	o.attemptReleased(r, "the worker refused the start: "+reason)
	status := dotterattempt.Status{Ref: o.ref(r), Phase: dotterattempt.PhaseFailed, Reason: "start refused: " + reason}
	o.options.Placer.Ended(now, r.worker, e.Task, status)
}

func (o *Owner) countStart(outcome string) {
	o.options.Metrics.Starts.WithLabelValues(outcome).Inc()
}

// logDecision writes the one log line of a placement decision.
func (o *Owner) logDecision(r *run) {
	o.logger.Info("Task placed",
		zap.String("Task", string(r.task.ID)),
		zap.Int("Attempt", r.attempt),
		zap.String("Target", r.worker),
		zap.String("Reason", r.reason),
		zap.Int64("Revision", o.document.Revision))
}
