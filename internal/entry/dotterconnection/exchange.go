package dotterconnection

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
)

var errClosedEarly = eris.New("the answer was not read to its end")

// exchange is one request and its answer on a connection.
type exchange struct {
	ctx        context.Context
	pool       *pool
	connection *connection
	request    *http.Request
	lift       func() bool
	keep       bool // whether the server keeps the connection open
}

// run sends the request and returns the answer, whose body ends the exchange.
func (e *exchange) run() (*http.Response, error) {
	e.lift = e.connection.limit(e.ctx)
	sent, err := e.connection.write(e.request)
	if err != nil && !sent {
		e.lift()
		e.pool.client.background(func() { e.pool.retire(e.connection) })
		return nil, eris.Wrapf(dotterelusher.ErrBackendNotSent, "write: %v", err)
	}
	// A server may answer and close before it has taken the whole request.
	response, readErr := e.connection.readHead(e.request)
	if readErr != nil {
		return nil, e.lose(readErr, nil)
	}
	e.keep = err == nil && !response.Close
	inner := response.Body
	b := &body{exchange: e, inner: inner}
	response.Body = b
	if inner == http.NoBody {
		b.ended = true
		e.succeed()
	}
	return response, nil
}

// succeed gives the connection back after a whole answer.
func (e *exchange) succeed() {
	inForce := e.lift()
	if inForce && e.keep {
		e.pool.put(e.connection)
		return
	}
	e.pool.client.background(func() { e.pool.retire(e.connection) })
}

// lose ends the exchange without a whole answer; rest is the body still to come.
func (e *exchange) lose(cause error, rest io.ReadCloser) *LostError {
	e.lift()
	timedOut := isTimeout(cause)
	// A caller that goes away says nothing about the server.
	if timedOut && !errors.Is(e.ctx.Err(), context.Canceled) {
		e.pool.suspect()
	}
	ended := make(chan struct{})
	e.pool.client.background(func() { e.finish(cause, rest, ended) })
	return &LostError{Cause: cause, TimedOut: timedOut, Ended: ended}
}

// finish closes ended when the server's slot is to be counted as free: once the
// whole answer has come or the server has closed the connection. A reset tells
// less, since it may come from something between the two ends; after it, as
// after silence, the slot is kept for a while. The connection's permit is kept
// in any case: a server may count its connection for a little longer.
func (e *exchange) finish(cause error, rest io.ReadCloser, ended chan<- struct{}) {
	client := e.pool.client
	late := client.settings.LateAnswerMillis
	begin := client.clock.Now()
	readOn := isTimeout(cause) || errors.Is(cause, errClosedEarly)
	if readOn && e.connection.finishLate(e.request, rest, late.Duration()) {
		close(ended)
		e.pool.retire(e.connection)
		return
	}
	if isEnd(cause) {
		close(ended)
		e.pool.abandon(e.connection)
		return
	}
	_ = e.connection.net.Close()
	client.wait(late - (client.clock.Now() - begin))
	close(ended)
	e.connection.permit.Release()
	e.pool.signal()
}

// isEnd reports whether err tells that the server closed the connection.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
