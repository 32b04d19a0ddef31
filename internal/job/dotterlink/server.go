package dotterlink

import (
	"context"
	"encoding/json"
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
)

// ErrListen means that the server cannot listen on its address.
var ErrListen = eris.New("link: cannot listen")

// Method handles the calls of one method.
type Method func(ctx context.Context, args json.RawMessage) (any, error)

// Server handles calls from other hosts.
type Server struct {
	listener net.Listener
	methods  map[string]Method
	logger   *zap.Logger
	tomb     tomb.Tomb
}

// Listen returns a server that listens on address, or ErrListen.
func Listen(address string, logger *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return &Server{listener: listener, logger: logger}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start serves calls to the methods until Stop.
func (s *Server) Start(methods map[string]Method) {
	s.methods = methods
	s.tomb.Go(func() error {
		for {
			conn, err := s.listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				s.logger.Warn("link not accepted", zap.Error(err))
				continue
			}
			ctx := s.tomb.Context(context.Background())
			stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
			link := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(handler{s}), discardLogs())
			s.tomb.Go(func() error {
				select {
				case <-link.DisconnectNotify():
				case <-s.tomb.Dying():
				}
				if err := link.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
					s.logger.Debug("link not closed cleanly", zap.Error(err))
				}
				return nil
			})
		}
	})
}

// Stop closes the listener and all links.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	if err := s.listener.Close(); err != nil {
		return err
	}
	return s.tomb.Wait()
}

// handler handles the calls received on a link.
type handler struct {
	server *Server
}

// Handle implements jsonrpc2.Handler.
func (h handler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	method, ok := h.server.methods[r.Method]
	if !ok {
		h.reply(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}))
		return
	}
	var args json.RawMessage
	if r.Params != nil {
		args = *r.Params
	}
	var result any
	var err error
	if contained := dotterpanic.Contain(func() { result, err = method(ctx, args) }); contained != nil {
		h.server.logger.Error("call of another host failed", contained.Fields(zap.String("Method", r.Method))...)
		err = contained
	}
	if err != nil {
		h.reply(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}))
		return
	}
	h.reply(c.Reply(ctx, r.ID, result))
}

func (h handler) reply(err error) {
	if err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		h.server.logger.Debug("answer not sent over the link", zap.Error(err))
	}
}
