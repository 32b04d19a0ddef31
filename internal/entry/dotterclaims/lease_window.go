package dotterclaims

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// leaseWindow gives out one lease for all claims of a span of time.
type leaseWindow struct {
	store  dotterelusher.Store
	clock  dotterelusher.Clock
	retain dotterclock.Millis // shortest life of a claim
	window dotterclock.Millis // how long one lease is given out

	mu    sync.Mutex
	lease dotterkey.LeaseID
	until dotterclock.Millis
}

// current returns a lease that outlives the shortest life of a claim.
func (w *leaseWindow) current(ctx context.Context) (dotterkey.LeaseID, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if w.lease != "" && now < w.until {
		return w.lease, nil
	}
	lease, err := w.store.Grant(ctx, w.retain+w.window)
	if err != nil {
		return "", err
	}
	w.lease = lease
	w.until = now + w.window
	return lease, nil
}

// forget makes the next claim get a new lease in place of lease.
func (w *leaseWindow) forget(lease dotterkey.LeaseID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == lease {
		w.lease = ""
	}
}
