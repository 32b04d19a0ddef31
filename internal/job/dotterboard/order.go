package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderPace
)

// Order is a start, stop or pace command for a worker.
type Order struct {
	kind   orderKind
	task   *task // nil to stop a run that is bound to no task
	ref    dotterrun.Ref
	sentAt dotterclock.Millis

	Worker dotterworker.Worker
	Start  *dotterrun.Start // exactly one of Start, Stop and Pace is set
	Stop   *dotterrun.Order
	Pace   *dotterrun.Order
}

// OrdersPending returns a channel that holds a token while orders for the worker are
// queued, or nil if the worker is unknown.
func (b *Board) OrdersPending(id string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.workers[id]; ok {
		return w.wake
	}
	return nil
}

// NextOrder removes and returns the next order for the worker that is still needed, or
// false if there is none.
func (b *Board) NextOrder(now dotterclock.Millis, id string) (*Order, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.workers[id]
	if !ok {
		return nil, false
	}
	for len(w.orders) > 0 {
		o := w.orders[0]
		w.orders = w.orders[1:]
		if b.prepare(now, w, o) {
			if len(w.orders) > 0 {
				w.signal() // let another sender take the next order
			}
			return o, true
		}
	}
	return nil, false
}

// prepare fills in the message of an order; it reports false if the order is obsolete.
func (b *Board) prepare(now dotterclock.Millis, w *worker, o *Order) bool {
	t := o.task
	if t != nil && (t.worker != w || t.ref() != o.ref) {
		return false
	}
	o.sentAt = now
	o.Worker = w.Worker
	base := dotterrun.Order{Ref: o.ref, Epoch: b.epoch}
	switch o.kind {
	case orderStop:
		o.Stop = &base
	case orderPace:
		if t.phase != running || t.paceWanted == t.pace && !t.paceUnknown {
			return false
		}
		base.Percent = t.paceWanted
		o.Pace = &base
	case orderStart:
		if t.phase != ordered || t.job().outcome != "" || !b.mayStart(now, w, t.step) || w.overfull() {
			if t.phase == ordered {
				b.dropStart(now, t)
			}
			return false
		}
		t.sentAt = now
		t.validUntil = w.estimatedClock(now) + startValidity
		w.leaseUntil = max(w.leaseUntil, t.validUntil)
		o.Start = &dotterrun.Start{
			Ref: o.ref, Epoch: b.epoch, Until: t.validUntil,
			Spec: t.job().Spec, Resume: t.resume, Ticket: t.step.tickets.codeFor(w),
		}
		b.counters.Starts++
	}
	return true
}

// dropStart releases a task whose start order was not sent.
func (b *Board) dropStart(now dotterclock.Millis, t *task) {
	b.logger.Info("start dropped", b.runFields(t, zap.Bool("Open", b.isOpen(now, t.worker)), zap.String("Free", t.worker.free().String()))...)
	b.release(now, t, dotteraccount.Dropped)
	if t.step.Gang {
		b.stopGang(now, t.step)
	}
	b.notify()
}

// OrderAnswered applies the worker's answer to an order, or the error of the call.
func (b *Board) OrderAnswered(now dotterclock.Millis, o *Order, answer dotterrun.Answer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.workers[o.Worker.ID]; ok {
		switch {
		case err != nil:
			w.mayHaveRestarted = true
		case answer.Refused == dotterrun.RefusedIncarnation:
			b.counters.Refused[answer.Refused]++
			b.handleReplacement(now, w)
		default:
			w.checkClock(now, answer.Clock)
		}
	}
	if answer.Refused == dotterrun.RefusedEpoch {
		b.deposed = true
		b.notify()
		return
	}
	t := o.task
	if t == nil || t.worker == nil || t.ref() != o.ref {
		return
	}
	switch o.kind {
	case orderStart:
		b.startAnswered(now, t, answer, err)
	case orderStop:
		if err == nil && answer.Refused == dotterrun.NotRefused {
			t.stopAnsweredAt = now
		}
		t.stopRetryAt = now + startValidity
	case orderPace:
		if err == nil && answer.Refused == dotterrun.NotRefused {
			t.confirmPace(now, o.Pace.Percent)
		} else {
			t.paceWanted = t.pace
		}
	}
}

// startAnswered applies the answer to a start. Without an answer, or if the worker
// refuses the run as an old one, the task stays bound until a listing or a stop resolves
// it; any other refusal releases it.
func (b *Board) startAnswered(now dotterclock.Millis, t *task, answer dotterrun.Answer, err error) {
	if t.phase != ordered {
		return // a listing has already shown the run
	}
	w := t.worker
	if err != nil {
		t.phase, t.answeredAt = uncertain, now
		b.logger.Warn("start got no answer", b.runFields(t, zap.Error(err))...)
		return
	}
	if answer.Refused == dotterrun.NotRefused {
		b.markRunning(now, t)
		t.answeredAt = now
		return
	}
	b.counters.Refused[answer.Refused]++
	b.logger.Info("start refused", b.runFields(t, zap.String("Refusal", string(answer.Refused)),
		zap.String("Free", w.free().String()), zap.Int64("HeardMsAgo", int64(now-w.heardAt)))...)
	switch answer.Refused {
	case dotterrun.RefusedOld:
		t.phase, t.answeredAt = uncertain, now
		return
	case dotterrun.RefusedBusy, dotterrun.RefusedRoom:
		w.faults.addFault(now, 1)
	case dotterrun.RefusedTicket:
		t.step.tickets.drop(w)
	}
	b.release(now, t, dotteraccount.Dropped)
	if t.step.Gang {
		b.stopGang(now, t.step)
	}
}
