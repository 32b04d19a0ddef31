package dotterclaims

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// leaseWindow shares one store lease among all claims made within a time window.
type leaseWindow struct {
	store       dotterelusher.Store
	clock       dotterelusher.Clock
	minLifetime dotterclock.Millis // minimum lifetime of a claim
	issueWindow dotterclock.Millis // how long a lease is used for new claims

	mu         sync.Mutex
	lease      dotterkey.LeaseID
	issueUntil dotterclock.Millis
}

// current returns a lease with at least the minimum lifetime of a claim left.
func (w *leaseWindow) current(ctx context.Context) (dotterkey.LeaseID, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if w.lease != "" && now < w.issueUntil {
		return w.lease, nil
	}
	lease, err := w.store.Grant(ctx, w.minLifetime+w.issueWindow)
	if err != nil {
		return "", err
	}
	w.lease = lease
	w.issueUntil = now + w.issueWindow
	return lease, nil
}

// drop stops using lease for new claims; it is called when the lease has expired.
func (w *leaseWindow) drop(lease dotterkey.LeaseID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == lease {
		w.lease = ""
	}
}
