package dotterowner

import (
	"context"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// orderRepeat is how long an order that was taken may stay without effect before it is sent again.
const orderRepeat = 2 * dotterclock.Second

// sendOrder sends the next order that w is due and reports whether there was one.
func (o *Owner) sendOrder(w *worker, now dotterclock.Millis) bool {
	for ref := range w.strays {
		o.stopStray(w, ref)
		return true
	}
	for _, r := range w.ordered() {
		if r.phase != phaseRunning {
			continue
		}
		if r.order != orderNone && now >= r.orderedAt+orderRepeat {
			o.sendRunOrder(w, r, now)
			return true
		}
		if r.throttle != 0 {
			o.sendThrottle(w, r)
			return true
		}
	}
	return false
}

func (o *Owner) stopStray(w *worker, ref dotterattempt.Ref) {
	delete(w.strays, ref)
	w.suspect = true
	command := dotterattempt.Order{Ref: ref, Epoch: o.log.Epoch()}
	o.logger.Warn("Stopping an attempt that isn't bound", zap.String("Task", string(ref.Task)),
		zap.Int("Attempt", ref.Attempt), zap.String("Worker", w.host.Name))
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Stop(ctx, address, command)
	}, func(dotterattempt.Report, error) {})
}

func (o *Owner) sendRunOrder(w *worker, r *run, now dotterclock.Millis) {
	r.orderedAt = now
	send := o.options.Workers.Stop
	if r.order == orderCheckpoint {
		send = o.options.Workers.Checkpoint
	}
	command := dotterattempt.Order{Ref: o.ref(r), Epoch: o.log.Epoch()}
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return send(ctx, address, command)
	}, func(report dotterattempt.Report, err error) {
		o.ordered(w, r, report, err)
	})
}

func (o *Owner) ordered(w *worker, r *run, report dotterattempt.Report, err error) {
	now := o.options.Clock.Now()
	w.nextRenewal = now
	if err == nil {
		o.takeOwnStatus(w, r, report, now)
	}
}

func (o *Owner) sendThrottle(w *worker, r *run) {
	percent := r.throttle
	r.throttle = 0
	command := dotterattempt.Order{Ref: o.ref(r), Epoch: o.log.Epoch(), Percent: percent}
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Throttle(ctx, address, command)
	}, func(report dotterattempt.Report, err error) {
		if err == nil && report.Refused == "" {
			r.throttled = percent % 100 // 100 lifts the limit
			o.dirty = true
		}
	})
}

// evict checkpoints a running attempt. Work that must not run twice is left to finish.
func (o *Owner) evict(r *run, reason string) bool {
	if r.phase != phaseRunning || r.order != orderNone || !r.task.Repeatable {
		return false
	}
	r.order = orderCheckpoint
	r.orderReason = reason
	o.options.Metrics.Evictions.Inc()
	o.logger.Info("Task evicted", zap.String("Task", string(r.task.ID)), zap.String("Target", r.worker),
		zap.String("Reason", reason), zap.Int64("Revision", o.document.Revision))
	return true
}
