package dotterrevision

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// Spans of fetching a revision from a peer.
const (
	// fetchDelay leaves the watch the time to bring a revision first.
	fetchDelay = 100 * dotterclock.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * dotterclock.Second
)

// observe notes that a peer has a higher revision. The mesh calls it.
func (h *Tracker) observe(told dotterpeer.PeerState) {
	if told.State.Revision <= h.revision() {
		return
	}
	select {
	case h.lacking <- struct{}{}:
	default:
	}
}

// fetch takes from peers the revisions that this process lacks.
func (h *Tracker) fetch() error {
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-h.lacking:
		}
		if h.revision() > 0 && !h.pause(fetchDelay/2+rand.N(fetchDelay)) {
			return nil
		}
		if !h.fetchNewest() && h.pause(fetchDelay) {
			h.observeLive()
		}
	}
}

// fetchNewest fetches from the peers that have a higher revision until there is
// none, and reports whether it got there.
func (h *Tracker) fetchNewest() bool {
	for _, p := range h.mesh.Live() {
		if p.Revision <= h.revision() {
			continue
		}
		if !h.ensure(h.tomb.Context(context.Background()), p.Name, p.Revision) {
			h.logger.Debug("fetching the configuration", zap.String("Peer", p.Name))
		}
	}
	return !h.behind()
}

// behind reports whether a live peer has a higher revision.
func (h *Tracker) behind() bool {
	for _, p := range h.mesh.Live() {
		if p.Revision > h.revision() {
			return true
		}
	}
	return false
}

func (h *Tracker) observeLive() {
	if !h.behind() {
		return
	}
	select {
	case h.lacking <- struct{}{}:
	default:
	}
}

// ensure fetches the document from host if it has a higher revision than this
// process, and reports whether this process has at least revision now.
func (h *Tracker) ensure(ctx context.Context, host string, revision int64) bool {
	if revision <= h.revision() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	var document dotterconfig.Document
	if err := h.mesh.Call(ctx, host, methodDocument, nil, &document); err != nil {
		return false
	}
	h.take(document, sourcePeer)
	return revision <= h.revision()
}

func (h *Tracker) revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document.Revision
}
