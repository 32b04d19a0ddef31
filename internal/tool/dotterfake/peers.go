package dotterfake

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
)

// Peers is a dotterelusher.Peers whose peers are replaced with Set; every call to one fails.
type Peers struct {
	mu   sync.RWMutex
	live []dotterelusher.Peer
}

var _ dotterelusher.Peers = (*Peers)(nil)

// NewPeers returns a Peers with the given live peers.
func NewPeers(live ...dotterelusher.Peer) *Peers {
	return &Peers{live: live}
}

// Live returns the live peers.
func (p *Peers) Live() []dotterelusher.Peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.live
}

// Set replaces the live peers.
func (p *Peers) Set(live ...dotterelusher.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = live
}

// Call returns ErrPeerUnreachable.
func (p *Peers) Call(context.Context, string, string, any, any) error {
	return dotterelusher.ErrPeerUnreachable
}

// Handle ignores the handler: no calls arrive.
func (p *Peers) Handle(string, dotterelusher.PeerHandler) {}
