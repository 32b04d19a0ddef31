package dotterharness

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay passes connections on to one entry host. A connection that is silenced
// stays so for good: what either end sends is taken and thrown away.
type relay struct {
	listener net.Listener
	target   string
	accept   func(net.Conn) *link

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a relay.
type link struct {
	from   string // name of the entry host that dialled; empty if it is none
	to     string
	silent atomic.Bool
}

// newRelay listens at address and passes on to target; accept tells whose connection it is.
func newRelay(address, target string, accept func(net.Conn) *link) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, accept: accept, links: map[*link]bool{}}
	go r.run()
	return r, nil
}

func (r *relay) address() string {
	return r.listener.Addr().String()
}

// close ends the relay; a nil relay has nothing to end.
func (r *relay) close() {
	if r == nil {
		return
	}
	r.listener.Close()
}

// silence silences the links that the rule names.
func (r *relay) silence(rule func(from, to string) bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		if rule(l.from, l.to) {
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

func (r *relay) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer far.Close()
	l := r.accept(near)
	r.add(l)
	defer r.remove(l)
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, near) })
	both.Go(func() { l.copy(near, far) })
	both.Wait()
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

// copy passes bytes on until one end closes, and closes the other unless the link is silent.
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
