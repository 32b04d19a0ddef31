package dotterdispatch

import (
	"context"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// orderTimeout bounds one order; a healthy worker answers within milliseconds.
	orderTimeout = 450 * dotterclock.Millisecond
	// answerGrace is how long a renewal may take beyond the wait that it requests.
	answerGrace = 450 * dotterclock.Millisecond
	// retryDelay is the delay before a call is retried that failed or was not allowed.
	retryDelay = 150 * dotterclock.Millisecond
	// renewDelay is the delay between two renewals; runs that end in it share one listing.
	renewDelay = 8 * dotterclock.Millisecond
	// unstoredDelay is the longest delay between two renewals while ends that the worker
	// has listed are not stored. Other runs that end in it are listed later by as much.
	unstoredDelay = 60 * dotterclock.Millisecond
	// orderConcurrency is how many orders may be in progress at one worker.
	orderConcurrency = 2
)

// Dispatcher maintains one session per worker.
type Dispatcher struct {
	board    *dotterboard.Board
	client   dotterelusher.RunClient
	clock    dotterelusher.Clock
	logger   *zap.Logger
	allowed  func() bool
	sessions map[string]session
}

// session is the set of loops that serve one worker.
type session struct {
	worker dotterworker.Worker
	cancel context.CancelFunc
}

// New returns a dispatcher without sessions. While allowed returns false, it sends
// nothing, because this host cannot tell whether it is still the owner.
func New(board *dotterboard.Board, client dotterelusher.RunClient, clock dotterelusher.Clock, logger *zap.Logger, allowed func() bool) *Dispatcher {
	return &Dispatcher{board: board, client: client, clock: clock, logger: logger, allowed: allowed, sessions: map[string]session{}}
}

// Sync starts and cancels sessions so that each worker of Board.Sessions has one.
// Sessions also end when ctx does; a cancelled session ends with its calls in progress.
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
		d.startSession(ctx, w)
	}
	for id, s := range d.sessions {
		if !wanted[id] {
			s.cancel()
			delete(d.sessions, id)
		}
	}
}

func (d *Dispatcher) startSession(ctx context.Context, w dotterworker.Worker) {
	sessionCtx, cancel := context.WithCancel(ctx)
	d.sessions[w.ID] = session{worker: w, cancel: cancel}
	go d.keep(sessionCtx, w, d.renew)
	for range orderConcurrency {
		go d.keep(sessionCtx, w, d.sendOrders)
	}
}

// keep runs a loop of a session until ctx ends. A loop that panics starts again after
// retryDelay; the other workers' sessions go on.
func (d *Dispatcher) keep(ctx context.Context, w dotterworker.Worker, loop func(context.Context, dotterworker.Worker)) {
	for ctx.Err() == nil {
		if contained := dotterpanic.Contain(func() { loop(ctx, w) }); contained != nil {
			d.logger.Error("session interrupted", contained.Fields(zap.String("Worker", w.ID))...)
			d.sleep(ctx, retryDelay)
		}
	}
}

// renew repeatedly renews the worker's lease and passes the listings to the board.
func (d *Dispatcher) renew(ctx context.Context, w dotterworker.Worker) {
	for ctx.Err() == nil {
		if !d.allowed() {
			d.sleep(ctx, retryDelay)
			continue
		}
		sentAt := d.clock.Now()
		renewal, ok := d.board.Renewal(sentAt, w.ID)
		if !ok { // the worker has left; Sync cancels the session unless it returns
			d.sleep(ctx, retryDelay)
			continue
		}
		call, cancel := context.WithTimeout(ctx, (renewal.Wait + answerGrace).Duration())
		listing, err := d.client.Renew(call, w, renewal)
		cancel()
		if ctx.Err() != nil {
			return
		}
		now := d.clock.Now()
		if err != nil {
			d.board.RenewalFailed(now, w.ID, err)
			d.sleep(ctx, retryDelay)
			continue
		}
		d.board.HandleListing(now, sentAt, w.ID, listing)
		d.sleep(ctx, renewDelay)
		if stored := d.board.EndsStored(w.ID); stored != nil {
			select {
			case <-ctx.Done():
			case <-stored:
			case <-d.clock.After(unstoredDelay):
			}
		}
	}
}

// sendOrders sends the board's orders for the worker.
func (d *Dispatcher) sendOrders(ctx context.Context, w dotterworker.Worker) {
	wake := d.board.OrdersPending(w.ID)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for ctx.Err() == nil {
			if !d.allowed() {
				d.sleep(ctx, retryDelay)
				continue
			}
			o, ok := d.board.NextOrder(d.clock.Now(), w.ID)
			if !ok {
				break
			}
			d.send(ctx, o)
		}
	}
}

// send sends one order and passes the answer to the board.
func (d *Dispatcher) send(ctx context.Context, o *dotterboard.Order) {
	call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
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
	d.board.OrderAnswered(d.clock.Now(), o, answer, err)
}

func (d *Dispatcher) sleep(ctx context.Context, delay dotterclock.Millis) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(delay):
	}
}
