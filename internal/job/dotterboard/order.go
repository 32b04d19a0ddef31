package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderPace
)

// Order is something to tell a worker.
type Order struct {
	kind   orderKind
	task   *task // nil for the stop of a run that no task is bound to
	ref    dotterrun.Ref
	sentAt dotterclock.Millis

	Worker dotterworker.Worker
	Start  *dotterrun.Start // one of the three is set
	Stop   *dotterrun.Order
	Pace   *dotterrun.Order
}

// Orders returns a channel that holds a token while orders for the worker wait, or
// nil if the worker is not known.
func (b *Board) Orders(id string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.workers[id]; ok {
		return w.wake
	}
	return nil
}

// NextOrder returns the next order for the worker, or false if there is none.
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
				w.rouse() // a further loop may take the next one
			}
			return o, true
		}
	}
	return nil, false
}

// prepare fills an order in; it reports false if there is no need for it any more.
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
		if t.phase != running || t.paceWanted == t.pace {
			return false
		}
		base.Percent = t.paceWanted
		o.Pace = &base
	case orderStart:
		if t.phase != ordered || t.job().outcome != "" || !b.mayStart(now, w, t.step) {
			if t.phase == ordered {
				b.release(t) // never sent
				b.notify()
			}
			return false
		}
		t.validUntil = w.clockNow(now) + startSpan
		w.leaseUntil = max(w.leaseUntil, t.validUntil)
		o.Start = &dotterrun.Start{
			Ref: o.ref, Epoch: b.epoch, Until: t.validUntil,
			Spec: t.job().Spec, Resume: t.checkpoint, Ticket: t.step.tickets.codeFor(w),
		}
		b.counters.Starts++
	}
	return true
}

// Answered takes in the answer to an order, or the error in its place.
func (b *Board) Answered(now dotterclock.Millis, o *Order, answer dotterrun.Answer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.workers[o.Worker.ID]; ok {
		if err != nil {
			w.doubted = true
		} else {
			w.hear(now, answer.Clock)
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
			t.sealedAt = now
		}
		t.stopAgain = now + startSpan
	case orderPace:
		if err == nil && answer.Refused == dotterrun.NotRefused {
			t.pace, t.pacedAt = o.Pace.Percent, now
		} else {
			t.paceWanted = t.pace
		}
	}
}

func (b *Board) startAnswered(now dotterclock.Millis, t *task, answer dotterrun.Answer, err error) {
	if t.phase != ordered {
		return // a listing was faster
	}
	w := t.worker
	if err != nil {
		t.phase, t.answeredAt = uncertain, now
		b.logger.Warn("start without an answer", b.runFields(t, zap.Error(err))...)
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
	case dotterrun.RefusedBusy, dotterrun.RefusedRoom, dotterrun.RefusedLife:
		w.conduct.blame(now, 1)
	case dotterrun.RefusedTicket:
		t.step.tickets.drop(w)
	}
	b.release(t)
	if t.step.Gang {
		b.regroup(now, t.step)
	}
}
