package dottertasks

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// mesh connects the services of a test in one process.
type mesh struct {
	mu    sync.Mutex
	hosts map[string]*meshHost
}

// meshHost is one entry host's view of the mesh.
type meshHost struct {
	mesh     *mesh
	peer     dotterelusher.Peer
	handlers map[string]dotterelusher.PeerHandler
	service  *Service
	dead     bool
}

// Live returns the other hosts that are alive.
func (h *meshHost) Live() []dotterelusher.Peer {
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	var peers []dotterelusher.Peer
	for _, o := range h.mesh.hosts {
		if o == h || o.dead || h.dead {
			continue
		}
		p := o.peer
		p.Shards = o.service.Owned()
		peers = append(peers, p)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// Call calls a handler of another host through JSON.
func (h *meshHost) Call(ctx context.Context, host, method string, args, reply any) error {
	h.mesh.mu.Lock()
	o, ok := h.mesh.hosts[host]
	reachable := ok && !o.dead && !h.dead
	h.mesh.mu.Unlock()
	if !reachable {
		return dotterelusher.ErrPeerUnreachable
	}
	data, err := json.Marshal(args)
	if err != nil {
		return err
	}
	answer, err := o.handlers[method](ctx, h.peer.Name, data)
	if err != nil {
		return dotterelusher.ErrPeerIndeterminate
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, reply)
}

// Handle registers a handler.
func (h *meshHost) Handle(method string, handler dotterelusher.PeerHandler) {
	h.handlers[method] = handler
}

// hostStore is a host's way to the store; a dead host has none.
type hostStore struct {
	dotterelusher.Store
	host *meshHost
}

func (s hostStore) dead() bool {
	s.host.mesh.mu.Lock()
	defer s.host.mesh.mu.Unlock()
	return s.host.dead
}

// Put writes unless the host is dead.
func (s hostStore) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error) {
	if s.dead() {
		return 0, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Put(ctx, key, value, expect, lease)
}

// Renew renews unless the host is dead.
func (s hostStore) Renew(ctx context.Context, lease dotterkey.LeaseID) error {
	if s.dead() {
		return dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Renew(ctx, lease)
}

// Delete deletes unless the host is dead.
func (s hostStore) Delete(ctx context.Context, key string, expect dotterkey.Version) error {
	if s.dead() {
		return dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Delete(ctx, key, expect)
}
