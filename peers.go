package dotterelusher

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Errors of Peers.
var (
	// ErrPeerUnreachable means that the call was not sent.
	ErrPeerUnreachable = eris.New("peer: unreachable, the call was not sent")
	// ErrPeerIndeterminate means that the call may have been carried out.
	ErrPeerIndeterminate = eris.New("peer: no answer, the call may have taken effect")
)

// Peers is the mesh of entry hosts.
type Peers interface {
	// Live returns the peers heard from lately, this host not included, sorted by name.
	Live() []Peer

	// Call calls method on host and decodes the answer into reply.
	Call(ctx context.Context, host, method string, args, reply any) error

	// Handle registers the handler of method; it must be called before the mesh starts.
	Handle(method string, handler PeerHandler)
}

// PeerHandler answers one method called by the entry host from.
type PeerHandler func(ctx context.Context, from string, args json.RawMessage) (any, error)

// Peer is another entry host as last heard from.
type Peer struct {
	Name          string
	FailureDomain string
	CallerAddress string // IP:port of its callers' API
	HeardAt       dotterclock.Millis
	Revision      int64    // configuration in force there
	FreeSlots     int      // summary of its load: free slots over all services
	Leaving       bool     // it is shutting down gracefully
	Shards        []string // task shards that it owns
}
