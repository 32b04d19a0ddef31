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

// exchange is one request and its answer on a connection that it holds alone.
type exchange struct {
	ctx         context.Context
	pool        *pool
	connection  *connection
	request     *http.Request
	stopContext func() bool // detaches ctx from the connection; see applyContext
	keepAlive   bool        // whether the server keeps the connection open
}

// run sends the request and returns the answer. The exchange ends with its body.
func (e *exchange) run() (*http.Response, error) {
	e.stopContext = e.connection.applyContext(e.ctx)
	sent, err := e.connection.write(e.request)
	if err != nil && !sent {
		e.stopContext()
		e.pool.client.background(func() { e.pool.retire(e.connection) })
		return nil, eris.Wrapf(dotterelusher.ErrBackendNotSent, "write: %v", err)
	}
	// A write error does not rule out an answer: a server may answer and close the
	// connection before it has read the whole request.
	response, readErr := e.connection.readHead(e.request)
	if readErr != nil {
		return nil, e.fail(readErr, nil)
	}
	e.keepAlive = err == nil && !response.Close
	inner := response.Body
	b := &body{exchange: e, inner: inner}
	response.Body = b
	if inner == http.NoBody {
		b.ended = true
		e.succeed()
	}
	return response, nil
}

// succeed returns the connection to the pool after a complete answer, or retires it
// if it can't be used again.
func (e *exchange) succeed() {
	uninterrupted := e.stopContext()
	if uninterrupted && e.keepAlive {
		e.pool.put(e.connection)
		return
	}
	e.pool.client.background(func() { e.pool.retire(e.connection) })
}

// fail ends the exchange without a complete answer. rest is the unread body, or nil
// if the head of the answer has not been read.
func (e *exchange) fail(cause error, rest io.ReadCloser) *LostError {
	e.stopContext()
	timedOut := isTimeout(cause)
	// A canceled request is no evidence that the connection is broken.
	if timedOut && !errors.Is(e.ctx.Err(), context.Canceled) {
		e.pool.markSuspect()
	}
	slotFree := make(chan struct{})
	e.pool.client.background(func() { e.awaitSlotFree(cause, rest, slotFree) })
	return &LostError{Cause: cause, TimedOut: timedOut, SlotFree: slotFree}
}

// awaitSlotFree closes slotFree when the server's slot counts as free: as soon as the
// server closes the connection, or when a late answer is complete. A reset proves
// less than a close, because a device between host and server may have sent it.
// After a reset, as after a timeout without a late answer, the slot counts as used
// until LateAnswerMillis have passed. In any case the connection's permit is released
// some time after the connection is closed, since the server may count the
// connection for a little longer.
func (e *exchange) awaitSlotFree(cause error, rest io.ReadCloser, slotFree chan<- struct{}) {
	client := e.pool.client
	timeout := client.settings.LateAnswerMillis
	start := client.clock.Now()
	readLate := isTimeout(cause) || errors.Is(cause, errClosedEarly)
	if readLate {
		if cause = e.connection.readLateAnswer(e.request, rest, timeout.Duration()); cause == nil {
			close(slotFree)
			e.pool.retire(e.connection)
			return
		}
	}
	if isEOF(cause) {
		close(slotFree)
		e.pool.abandon(e.connection)
		return
	}
	_ = e.connection.net.Close()
	client.wait(timeout - (client.clock.Now() - start))
	close(slotFree)
	e.connection.permit.Release()
	e.pool.notifyFreed()
}

// isEOF reports whether err means that the server closed the connection.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
