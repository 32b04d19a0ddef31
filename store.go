package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Errors of a Store. Every error that a Store returns is one of these.
var (
	ErrStoreNotFound      = eris.New("store: no such key")
	ErrStoreConflict      = eris.New("store: the key is at another version")
	ErrStoreUnavailable   = eris.New("store: unavailable, the call took no effect")
	ErrStoreIndeterminate = eris.New("store: no answer, the call may have taken effect")
	// ErrStoreRateLimited comes with ErrStoreUnavailable when this process's own rate
	// limit held the call back, which tells nothing about the store.
	ErrStoreRateLimited = eris.New("store: not asked, held back by this process's rate limit")
	ErrStoreLeaseLapsed = eris.New("store: the lease has lapsed")
	// ErrStoreCompacted means that a watch asked for changes that the store no longer keeps.
	ErrStoreCompacted = eris.New("store: the history was compacted")
)

// Store is the platform's key-value service.
//
// A caller that gets ErrStoreIndeterminate from a write must read the key back
// and compare before it writes again.
type Store interface {
	// Get returns the entry under key, or ErrStoreNotFound.
	Get(ctx context.Context, key string) (dotterkey.Entry, error)

	// List returns the entries whose keys start with prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error)

	// Put writes value under key if the key is at version expect (zero: absent)
	// and returns the new version, or ErrStoreConflict. A lease ties the key's life to it.
	Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error)

	// Delete removes key if it is at version expect, or returns ErrStoreConflict.
	Delete(ctx context.Context, key string, expect dotterkey.Version) error

	// Watch waits for changes below prefix after the revision and returns them;
	// it returns empty changes when the platform ends the wait.
	Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error)

	// Grant creates a lease that lapses unless renewed within span.
	Grant(ctx context.Context, span dotterclock.Millis) (dotterkey.LeaseID, error)

	// Renew extends lease by its span, or returns ErrStoreLeaseLapsed.
	Renew(ctx context.Context, lease dotterkey.LeaseID) error

	// Revoke ends lease and removes its keys.
	Revoke(ctx context.Context, lease dotterkey.LeaseID) error
}

// TransactionalStore is a Store that changes several keys at once and whose
// watches wait as long as they are told.
type TransactionalStore interface {
	Store

	// WatchFor is Watch with a wait of at most span. It returns ErrStoreCompacted if
	// the changes after the revision are no longer kept.
	WatchFor(ctx context.Context, prefix string, after dotterkey.Revision, span dotterclock.Millis) (dotterkey.Changes, error)

	// Commit carries the transaction out and returns the revision that all its
	// keys get. With ErrStoreConflict it returns the entries of the expected keys
	// as they are; a key that is absent has no entry. After ErrStoreIndeterminate
	// the transaction may still take effect as long as its expectations hold, so
	// only the same transaction may be tried again.
	Commit(ctx context.Context, transaction dotterkey.Transaction) (dotterkey.Revision, []dotterkey.Entry, error)
}
