package dotterendpoint

import "net"

// listener hands its connections to the endpoint before the server sees them.
type listener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: accepted}
	l.endpoint.add(wrapped)
	return wrapped, nil
}
