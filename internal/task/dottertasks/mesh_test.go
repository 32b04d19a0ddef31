package dottertasks

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// mesh connects the services of a test within one process.
type mesh struct {
	mu    sync.Mutex
	hosts map[string]*meshHost
}

// meshHost implements dotterelusher.Peers for one entry host.
type meshHost struct {
	mesh     *mesh
	peer     dotterelusher.Peer
	handlers map[string]dotterelusher.PeerHandler
	service  *Service
	dead     bool
}

// Live returns the other hosts that are not dead, sorted by name.
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

// Call calls a handler of another host, with arguments and reply encoded as JSON.
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

// Handle implements dotterelusher.Peers.
func (h *meshHost) Handle(method string, handler dotterelusher.PeerHandler) {
	h.handlers[method] = handler
}

// hostStore is the store as seen by a host; its writes fail if the host is dead.
type hostStore struct {
	dotterelusher.Store
	host *meshHost
}

func (s hostStore) dead() bool {
	s.host.mesh.mu.Lock()
	defer s.host.mesh.mu.Unlock()
	return s.host.dead
}

// Put fails if the host is dead.
func (s hostStore) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error) {
	if s.dead() {
		return 0, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Put(ctx, key, value, expect, lease)
}

// Renew fails if the host is dead.
func (s hostStore) Renew(ctx context.Context, lease dotterkey.LeaseID) error {
	if s.dead() {
		return dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Renew(ctx, lease)
}

// Delete fails if the host is dead.
func (s hostStore) Delete(ctx context.Context, key string, expect dotterkey.Version) error {
	if s.dead() {
		return dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Delete(ctx, key, expect)
}
