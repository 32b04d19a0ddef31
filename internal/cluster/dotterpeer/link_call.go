package dotterpeer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
)

// serve handles a call in its own goroutine, or refuses it with codeBusy if
// maxConcurrentCalls are already being handled.
func (l *link) serve(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case l.callSlots <- struct{}{}:
	default:
		l.logReplyError(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls"}))
		return
	}
	go func() {
		defer func() { <-l.callSlots }()
		l.answer(ctx, c, r)
	}()
}

func (l *link) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case <-l.identified:
	case <-ctx.Done():
		return
	}
	handler, ok := l.mesh.handlers[r.Method]
	if !ok {
		l.logReplyError(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}))
		return
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	var result any
	var err error
	if contained := dotterpanic.Contain(func() { result, err = handler(ctx, l.identity().Name, params) }); contained != nil {
		l.mesh.logger.Error("call of a peer failed", contained.Fields(zap.String("Peer", l.identity().Name), zap.String("Method", r.Method))...)
		err = contained
	}
	if err != nil {
		l.logReplyError(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}))
		return
	}
	l.mesh.metrics.messagesSent.Inc()
	l.logReplyError(c.Reply(ctx, r.ID, result))
}

// call calls method on the other side. Its errors are those of Mesh.Call, except
// for a missing link.
func (l *link) call(ctx context.Context, method string, args, reply any) error {
	l.mesh.metrics.messagesSent.Inc()
	err := l.conn.Call(ctx, method, args, reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrMessageTooLarge):
		return err
	case errors.As(err, &remote) && remote.Code == codeBusy:
		return eris.Wrap(dotterelusher.ErrPeerUnreachable, remote.Message)
	case errors.As(err, &remote):
		return &RemoteError{Host: l.identity().Name, Method: method, Message: remote.Message}
	default:
		l.suspect()
		return eris.Wrap(dotterelusher.ErrPeerIndeterminate, err.Error())
	}
}

// logReplyError logs that an answer could not be sent. Nothing else is done: the
// link ends by itself.
func (l *link) logReplyError(err error) {
	if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
		return
	}
	l.mesh.logger.Debug("failed to send answer to peer", zap.String("Peer", l.identity().Name), zap.Error(err))
}
