package dotterowner

import (
	"context"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// orderRetryInterval is the time after which an order without effect is sent again.
const orderRetryInterval = 2 * dotterclock.Second

// sendOrder sends the next pending order to w and reports whether there was one.
func (o *Owner) sendOrder(w *worker, now dotterclock.Millis) bool {
	for ref := range w.orphans {
		o.stopOrphan(w, ref)
		return true
	}
	for _, a := range w.sortedAttempts() {
		if a.phase != phaseRunning {
			continue
		}
		if a.pendingOrder != orderNone && now >= a.orderSentAt+orderRetryInterval {
			o.sendAttemptOrder(w, a, now)
			return true
		}
		if a.pendingThrottle != 0 {
			o.sendThrottle(w, a)
			return true
		}
	}
	return false
}

func (o *Owner) stopOrphan(w *worker, ref dotterattempt.Ref) {
	delete(w.orphans, ref)
	w.needsInventory = true
	command := dotterattempt.Order{Ref: ref, Epoch: o.log.Epoch()}
	o.logger.Warn("Stopping an attempt that isn't bound to the worker", zap.String("Task", string(ref.Task)),
		zap.Int("Attempt", ref.Attempt), zap.String("Worker", w.host.Name))
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Stop(ctx, address, command)
	}, func(dotterattempt.Report, error) {})
}

func (o *Owner) sendAttemptOrder(w *worker, a *attempt, now dotterclock.Millis) {
	a.orderSentAt = now
	send := o.options.Workers.Stop
	if a.pendingOrder == orderCheckpoint {
		send = o.options.Workers.Checkpoint
	}
	command := dotterattempt.Order{Ref: o.ref(a), Epoch: o.log.Epoch()}
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return send(ctx, address, command)
	}, func(report dotterattempt.Report, err error) {
		o.handleOrderReply(w, a, report, err)
	})
}

func (o *Owner) handleOrderReply(w *worker, a *attempt, report dotterattempt.Report, err error) {
	now := o.options.Clock.Now()
	w.nextRenewal = now
	if err == nil {
		o.handleOwnStatus(w, a, report, now)
	}
}

func (o *Owner) sendThrottle(w *worker, a *attempt) {
	percent := a.pendingThrottle
	a.pendingThrottle = 0
	command := dotterattempt.Order{Ref: o.ref(a), Epoch: o.log.Epoch(), Percent: percent}
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Throttle(ctx, address, command)
	}, func(report dotterattempt.Report, err error) {
		if err == nil && report.Refused == "" {
			a.throttlePercent = percent % 100 // 100 lifts the limit
			o.dirty = true
		}
	})
}

// evict orders a checkpoint of a running attempt and reports whether it did.
// Attempts of tasks that aren't repeatable are left to finish.
func (o *Owner) evict(a *attempt, reason string) bool {
	if a.phase != phaseRunning || a.pendingOrder != orderNone || !a.task.Repeatable {
		return false
	}
	a.pendingOrder = orderCheckpoint
	a.orderReason = reason
	o.options.Metrics.Evictions.Inc()
	o.logger.Info("Task evicted", zap.String("Task", string(a.task.ID)), zap.String("Target", a.worker),
		zap.String("Reason", reason), zap.Int64("Revision", o.document.Revision))
	return true
}
