package dotterfake

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
)

// Peers is a list of peers that is set by hand and can't be called.
type Peers struct {
	mu   sync.RWMutex
	live []dotterelusher.Peer
}

var _ dotterelusher.Peers = (*Peers)(nil)

// NewPeers returns the peers in live.
func NewPeers(live ...dotterelusher.Peer) *Peers {
	return &Peers{live: live}
}

// Live returns the peers.
func (p *Peers) Live() []dotterelusher.Peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.live
}

// Set replaces the peers.
func (p *Peers) Set(live ...dotterelusher.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = live
}

// Call returns ErrPeerUnreachable.
func (p *Peers) Call(context.Context, string, string, any, any) error {
	return dotterelusher.ErrPeerUnreachable
}

// Handle does nothing.
func (p *Peers) Handle(string, dotterelusher.PeerHandler) {}
