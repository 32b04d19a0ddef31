package dotterdispatch

import (
	"context"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// orderSpan bounds an order; a healthy worker answers within milliseconds.
	orderSpan = 450 * dotterclock.Millisecond
	// answerSpan is how long a listing may take beyond the wait that was asked for.
	answerSpan = 450 * dotterclock.Millisecond
	// retrySpan is the pause before a worker that did not answer is asked again.
	retrySpan = 150 * dotterclock.Millisecond
	// gatherSpan is the pause between two listings, in which further ends gather.
	gatherSpan = 8 * dotterclock.Millisecond
	// orderLoops is how many orders one worker may be given at the same time.
	orderLoops = 2
)

// Dispatcher keeps the sessions.
type Dispatcher struct {
	board    *dotterboard.Board
	client   dotterelusher.RunClient
	clock    dotterelusher.Clock
	logger   *zap.Logger
	allowed  func() bool
	sessions map[string]session
}

// session is what runs for one worker.
type session struct {
	worker dotterworker.Worker
	cancel context.CancelFunc
}

// New returns a dispatcher without sessions. While allowed returns false, it keeps
// silent: this host can't tell whether it still is the owner.
func New(board *dotterboard.Board, client dotterelusher.RunClient, clock dotterelusher.Clock, logger *zap.Logger, allowed func() bool) *Dispatcher {
	return &Dispatcher{board: board, client: client, clock: clock, logger: logger, allowed: allowed, sessions: map[string]session{}}
}

// Sync starts and ends sessions so that there is one for each worker that needs it,
// until ctx ends. A session ends when its last call does.
func (d *Dispatcher) Sync(ctx context.Context) {
	wanted := map[string]bool{}
	for _, w := range d.board.Sessions() {
		wanted[w.ID] = true
		s, ok := d.sessions[w.ID]
		if ok && s.worker.Address == w.Address {
			continue
		}
		if ok {
			s.cancel()
		}
		d.open(ctx, w)
	}
	for id, s := range d.sessions {
		if !wanted[id] {
			s.cancel()
			delete(d.sessions, id)
		}
	}
}

func (d *Dispatcher) open(ctx context.Context, w dotterworker.Worker) {
	own, cancel := context.WithCancel(ctx)
	d.sessions[w.ID] = session{worker: w, cancel: cancel}
	go d.renew(own, w)
	for range orderLoops {
		go d.order(own, w)
	}
}

// renew asks the worker for its listing over and over.
func (d *Dispatcher) renew(ctx context.Context, w dotterworker.Worker) {
	for ctx.Err() == nil {
		if !d.allowed() {
			d.sleep(ctx, retrySpan)
			continue
		}
		sentAt := d.clock.Now()
		renewal, ok := d.board.Renewal(sentAt, w.ID)
		if !ok { // it has left; Sync ends the session unless it comes back
			d.sleep(ctx, retrySpan)
			continue
		}
		call, cancel := context.WithTimeout(ctx, (renewal.Wait + answerSpan).Duration())
		listing, err := d.client.Renew(call, w, renewal)
		cancel()
		if ctx.Err() != nil {
			return
		}
		now := d.clock.Now()
		if err != nil {
			d.board.Silent(now, w.ID, err)
			d.sleep(ctx, retrySpan)
			continue
		}
		d.board.Listed(now, sentAt, w.ID, listing)
		d.sleep(ctx, gatherSpan)
	}
}

// order gives the worker the orders of the board.
func (d *Dispatcher) order(ctx context.Context, w dotterworker.Worker) {
	wake := d.board.Orders(w.ID)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for ctx.Err() == nil {
			if !d.allowed() {
				d.sleep(ctx, retrySpan)
				continue
			}
			o, ok := d.board.NextOrder(d.clock.Now(), w.ID)
			if !ok {
				break
			}
			d.give(ctx, o)
		}
	}
}

// give gives one order and takes the answer in.
func (d *Dispatcher) give(ctx context.Context, o *dotterboard.Order) {
	call, cancel := context.WithTimeout(ctx, orderSpan.Duration())
	defer cancel()
	var answer dotterrun.Answer
	var err error
	switch {
	case o.Start != nil:
		answer, err = d.client.Start(call, o.Worker, *o.Start)
	case o.Stop != nil:
		answer, err = d.client.Stop(call, o.Worker, *o.Stop)
	case o.Pace != nil:
		answer, err = d.client.Pace(call, o.Worker, *o.Pace)
	}
	d.board.Answered(d.clock.Now(), o, answer, err)
}

func (d *Dispatcher) sleep(ctx context.Context, span dotterclock.Millis) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(span):
	}
}
