package dotterelusher

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Errors returned by Peers.
var (
	// ErrPeerUnreachable means that the call was not sent.
	ErrPeerUnreachable = eris.New("peer: unreachable, the call was not sent")
	// ErrPeerIndeterminate means that no answer arrived and that the peer may have
	// executed the call.
	ErrPeerIndeterminate = eris.New("peer: no answer, the call may have taken effect")
)

// Peers connects this entry host to all the others.
type Peers interface {
	// Live returns the peers heard from recently, without this host, sorted by name.
	Live() []Peer

	// Call calls method on host with args and decodes the result into reply.
	Call(ctx context.Context, host, method string, args, reply any) error

	// Handle registers the handler of method; it must be called before the peer connections start.
	Handle(method string, handler PeerHandler)
}

// PeerHandler handles calls of one method; from is the name of the calling entry host.
type PeerHandler func(ctx context.Context, from string, args json.RawMessage) (any, error)

// Peer is another entry host, as described by its last message.
type Peer struct {
	Name          string
	FailureDomain string
	CallerAddress string // IP:port of its API for callers
	HeardAt       dotterclock.Millis
	Revision      int64    // revision of the configuration in force on the peer
	FreeSlots     int      // free slots, summed over all services
	Leaving       bool     // whether it is shutting down gracefully
	Shards        []string // task shards it owns
}
