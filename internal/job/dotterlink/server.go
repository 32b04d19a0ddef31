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

const (
	// maxLinks is the limit of links that are open at a time; there is one for each entry host.
	maxLinks = 512
	// maxConcurrentCalls is the limit of calls on a link that are handled at a time.
	maxConcurrentCalls = 64
)

// ErrListen means that the server cannot listen on its address.
var ErrListen = eris.New("link: cannot listen")

// Method handles the calls of one method.
type Method func(ctx context.Context, args json.RawMessage) (any, error)

// Server handles calls from other hosts.
type Server struct {
	listener net.Listener
	methods  map[string]Method
	slots    chan struct{} // one token for each open link
	logger   *zap.Logger
	tomb     tomb.Tomb
}

// Listen returns a server that listens on address, or ErrListen.
func Listen(address string, logger *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return &Server{listener: listener, slots: make(chan struct{}, maxLinks), logger: logger}, nil
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
			select {
			case s.slots <- struct{}{}:
			default:
				s.logger.Warn("link refused, too many are open", zap.Int("Links", maxLinks), zap.Stringer("Remote", conn.RemoteAddr()), zap.Error(conn.Close()))
				continue
			}
			ctx := s.tomb.Context(context.Background())
			stream := jsonrpc2.NewBufferedStream(conn, codec{})
			link := jsonrpc2.NewConn(ctx, stream, newConcurrentHandler(handler{s}), discardLogs())
			s.tomb.Go(func() error {
				defer func() { <-s.slots }()
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

// concurrentHandler handles the calls of one link concurrently. Further calls stay on the link, so that
// its host cannot make this one hold more of them.
type concurrentHandler struct {
	handler
	slots chan struct{}
}

func newConcurrentHandler(h handler) concurrentHandler {
	return concurrentHandler{h, make(chan struct{}, maxConcurrentCalls)}
}

// Handle implements jsonrpc2.Handler.
func (h concurrentHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	h.slots <- struct{}{}
	go func() {
		defer func() { <-h.slots }()
		h.handler.Handle(ctx, c, r)
	}()
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
