package dotterintake

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// listener admits the connections of a door.
type listener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return nil, errors.Join(eris.Wrap(errNotTCP, accepted.RemoteAddr().String()), accepted.Close())
		}
		c := &conn{TCPConn: tcp, door: l.door}
		if l.door.admit(c) {
			return c, nil
		}
		if err := refuse(tcp); err != nil {
			l.door.logger.Debug("connection not refused cleanly", zap.String("Door", l.door.name), zap.Error(err))
		}
	}
}
