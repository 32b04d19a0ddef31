package dotterharness

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards TCP connections to one entry host. Once a connection is
// silenced, the relay reads and discards the data from both ends for good.
type relay struct {
	listener net.Listener
	target   string
	identify func(net.Conn) *link

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a relay.
type link struct {
	from   string // name of the dialing entry host; empty if another process dialed
	to     string
	silent atomic.Bool
}

// newRelay listens on address and forwards to target. It calls identify to
// determine the ends of each accepted connection.
func newRelay(address, target string, identify func(net.Conn) *link) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, identify: identify, links: map[*link]bool{}}
	go r.run()
	return r, nil
}

func (r *relay) address() string {
	return r.listener.Addr().String()
}

// close stops accepting connections. It does nothing on a nil relay.
func (r *relay) close() {
	if r == nil {
		return
	}
	r.listener.Close()
}

// silence silences the existing links for which isSilent returns true.
func (r *relay) silence(isSilent func(from, to string) bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		if isSilent(l.from, l.to) {
			l.silent.Store(true)
		}
	}
}

func (r *relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *relay) serve(client net.Conn) {
	defer client.Close()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	l := r.identify(client)
	r.add(l)
	defer r.remove(l)
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(target, client) })
	copies.Go(func() { l.copy(client, target) })
	copies.Wait()
}

func (r *relay) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = true
}

func (r *relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// copy forwards data until one end closes. It then closes the other end, unless
// the link is silent.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if l.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if !l.silent.Load() {
		to.Close()
		from.Close()
	}
}
