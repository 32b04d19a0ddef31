package dotterrevision

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Timing of the watch.
const (
	// watchTimeout ends a watch call that the platform does not end.
	watchTimeout = 30 * dotterclock.Second
	// minWatchBackoff and maxWatchBackoff bound the backoff after an error.
	minWatchBackoff = 100 * dotterclock.Millisecond
	maxWatchBackoff = 5 * dotterclock.Second
)

// watch follows the document in the store, continuing each time after the last
// store revision seen. After an error it starts over with a list, with exponential
// backoff.
func (t *Tracker) watch() error {
	after := dotterkey.Revision(0)
	backoff := minWatchBackoff
	for t.tomb.Alive() {
		next, err := t.watchOnce(after)
		if err == nil {
			after, backoff = next, minWatchBackoff
			continue
		}
		t.logger.Debug("failed to watch configuration", zap.Error(err))
		after = 0
		if !t.pause(backoff/2 + rand.N(backoff)) {
			return nil
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
	return nil
}

// watchOnce waits for changes after the given store revision, or lists the document
// if that is zero. It returns the store revision from which to continue.
func (t *Tracker) watchOnce(after dotterkey.Revision) (dotterkey.Revision, error) {
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), watchTimeout.Duration())
	defer cancel()
	if after == 0 {
		entries, revision, err := t.store.List(ctx, dotterconfig.Key)
		t.adoptEntries(entries, sourceRead)
		return revision, err
	}
	changes, err := t.store.Watch(ctx, dotterconfig.Key, after)
	t.adoptEntries(changes.Entries, sourceWatch)
	return changes.Revision, err
}

// adoptEntries adopts the document if it is among entries.
func (t *Tracker) adoptEntries(entries []dotterkey.Entry, source string) {
	for _, e := range entries {
		if e.Key == dotterconfig.Key {
			t.adoptEntry(e, source)
		}
	}
}
