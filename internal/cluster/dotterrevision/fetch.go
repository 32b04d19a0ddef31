package dotterrevision

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// Timing of fetches from peers.
const (
	// fetchDelay gives the watch time to deliver a revision first.
	fetchDelay = 100 * dotterclock.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * dotterclock.Second
)

// handlePeerState triggers a fetch if a peer has a higher revision. The mesh calls
// it with each state received from a peer.
func (t *Tracker) handlePeerState(peer dotterpeer.PeerState) {
	if peer.State.Revision <= t.revision() {
		return
	}
	select {
	case t.fetchNeeded <- struct{}{}:
	default:
	}
}

// fetch fetches newer documents from peers when triggered, until the Tracker is
// stopped.
func (t *Tracker) fetch() error {
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case <-t.fetchNeeded:
		}
		if t.revision() > 0 && !t.pause(fetchDelay/2+rand.N(fetchDelay)) {
			return nil
		}
		if !t.fetchNewest() && t.pause(fetchDelay) {
			t.triggerFetchIfBehind()
		}
	}
}

// fetchNewest fetches once from each peer that has a higher revision, and reports
// whether no live peer has a higher revision afterwards.
func (t *Tracker) fetchNewest() bool {
	for _, p := range t.mesh.Live() {
		if p.Revision <= t.revision() {
			continue
		}
		if !t.ensureRevision(t.tomb.Context(context.Background()), p.Name, p.Revision) {
			t.logger.Debug("failed to fetch configuration from peer", zap.String("Peer", p.Name))
		}
	}
	return !t.behind()
}

// behind reports whether a live peer has a higher revision.
func (t *Tracker) behind() bool {
	for _, p := range t.mesh.Live() {
		if p.Revision > t.revision() {
			return true
		}
	}
	return false
}

// triggerFetchIfBehind triggers a fetch if a live peer has a higher revision.
func (t *Tracker) triggerFetchIfBehind() {
	if !t.behind() {
		return
	}
	select {
	case t.fetchNeeded <- struct{}{}:
	default:
	}
}

// ensureRevision fetches the document from host if this process does not have
// revision yet, and reports whether it then has at least revision.
func (t *Tracker) ensureRevision(ctx context.Context, host string, revision int64) bool {
	if revision <= t.revision() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	var document dotterconfig.Document
	if err := t.mesh.Call(ctx, host, methodDocument, nil, &document); err != nil {
		return false
	}
	t.adopt(document, sourcePeer)
	return revision <= t.revision()
}

// revision returns the revision in force, or zero before there is one.
func (t *Tracker) revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.document.Revision
}
