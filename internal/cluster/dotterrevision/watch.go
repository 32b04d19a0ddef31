package dotterrevision

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Spans of the watch.
const (
	// watchTimeout ends a wait that the platform does not end.
	watchTimeout = 30 * dotterclock.Second
	// firstRetry and lastRetry bound the backoff after an error.
	firstRetry = 100 * dotterclock.Millisecond
	lastRetry  = 5 * dotterclock.Second
)

// watch follows the store's key, each time from the last revision seen. After
// an error it starts over with a list, later each time.
func (h *Tracker) watch() error {
	after := dotterkey.Revision(0)
	backoff := firstRetry
	for h.tomb.Alive() {
		next, err := h.watchOnce(after)
		if err == nil {
			after, backoff = next, firstRetry
			continue
		}
		h.logger.Debug("watching the configuration", zap.Error(err))
		after = 0
		if !h.pause(backoff/2 + rand.N(backoff)) {
			return nil
		}
		backoff = min(2*backoff, lastRetry)
	}
	return nil
}

// watchOnce waits for changes after the revision, or lists if it is zero, and
// returns the revision from which to go on.
func (h *Tracker) watchOnce(after dotterkey.Revision) (dotterkey.Revision, error) {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), watchTimeout.Duration())
	defer cancel()
	if after == 0 {
		entries, revision, err := h.store.List(ctx, dotterconfig.Key)
		h.takeAll(entries, sourceRead)
		return revision, err
	}
	changes, err := h.store.Watch(ctx, dotterconfig.Key, after)
	h.takeAll(changes.Entries, sourceWatch)
	return changes.Revision, err
}

func (h *Tracker) takeAll(entries []dotterkey.Entry, source string) {
	for _, e := range entries {
		if e.Key == dotterconfig.Key {
			h.takeEntry(e, source)
		}
	}
}
