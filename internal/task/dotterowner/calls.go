package dotterowner

import (
	"context"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// maxCallBackoff is the maximum delay before an unreachable worker is called again.
const maxCallBackoff = 5 * dotterclock.Second

// workerCall sends one command to the worker at address.
type workerCall func(ctx context.Context, address string) (dotterattempt.Report, error)

// callWorkers makes at most one call to each worker that needs one.
func (o *Owner) callWorkers(now dotterclock.Millis) {
	for _, w := range o.workers {
		if w.callInFlight || now < w.nextCall || w.host.Address == "" {
			continue
		}
		o.callNext(w, now)
	}
}

// callNext makes the most urgent call to w: an inventory, an order, a renewal or a start.
func (o *Owner) callNext(w *worker, now dotterclock.Millis) {
	if w.needsInventory || !w.epochRaised || w.failures > 0 {
		o.inventory(w)
		return
	}
	if o.sendOrder(w, now) {
		return
	}
	if now >= w.nextRenewal {
		o.renew(w, now)
		return
	}
	o.sendStart(w, now)
}

// call sends a command from a goroutine of its own and processes the reply on the
// loop.
func (o *Owner) call(w *worker, command workerCall, onReply func(dotterattempt.Report, error)) {
	w.callInFlight = true
	address := w.host.Address
	o.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), o.limits.CallTimeout.Duration())
		defer cancel()
		report, err := command(ctx, address)
		o.post(func() { o.handleReply(w, report, err, onReply) })
		return nil
	})
}

func (o *Owner) handleReply(w *worker, report dotterattempt.Report, err error, onReply func(dotterattempt.Report, error)) {
	now := o.options.Clock.Now()
	w.callInFlight = false
	if err == nil && report.Worker != "" && report.Worker != w.host.Name {
		err = dotterelusher.ErrWorkerIndeterminate
	}
	if err != nil {
		o.noteCallFailure(w, now, err)
		onReply(report, err)
		return
	}
	if report.Epoch > o.log.Epoch() {
		o.depose("worker " + w.host.Name + " has seen a higher epoch")
		return
	}
	if w.failures > 0 {
		o.dirty = true
	}
	w.failures = 0
	w.nextCall = 0
	w.clock = report.Clock
	w.lastReplyAt = now
	if w.epochRaised && w.incarnation != report.Incarnation {
		w.needsInventory = true
	}
	w.incarnation = report.Incarnation
	onReply(report, nil)
	o.observe(w, report, now)
}

func (o *Owner) noteCallFailure(w *worker, now dotterclock.Millis, err error) {
	if w.failures == 0 {
		o.logger.Info("Worker unreachable", zap.String("Worker", w.host.Name), zap.Error(err))
		o.dirty = true
	}
	w.failures++
	w.nextCall = now + min(dotterclock.Millis(w.failures)*o.limits.Tick*4, maxCallBackoff)
}

func (o *Owner) observe(w *worker, report dotterattempt.Report, now dotterclock.Millis) {
	if len(report.Usage) == 0 {
		return
	}
	o.options.Placer.RecordUsage(now, w.host.Name, report.UsageAt(now))
	for _, u := range report.Usage {
		a, ok := w.attempts[u.Task]
		if ok && a.number == u.Attempt {
			a.size = a.size.Max(u.Used)
		}
	}
	o.dirty = true
}

func (o *Owner) ref(a *attempt) dotterattempt.Ref {
	return dotterattempt.Ref{Shard: o.options.Shard.String(), Task: a.task.ID, Attempt: a.number}
}
