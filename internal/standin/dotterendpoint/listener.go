package dotterendpoint

import "net"

// listener registers accepted connections with the endpoint, which can silence them.
type listener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept waits for the next connection and registers it with the endpoint.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: accepted}
	l.endpoint.addConn(wrapped)
	return wrapped, nil
}
