package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Errors of a Store. Every error that a Store returns wraps one of these.
var (
	ErrStoreNotFound      = eris.New("store: no such key")
	ErrStoreConflict      = eris.New("store: the key is at another version")
	ErrStoreUnavailable   = eris.New("store: unavailable, the call took no effect")
	ErrStoreIndeterminate = eris.New("store: no answer, the call may have taken effect")
	// ErrStoreRateLimited comes with ErrStoreUnavailable when this process's own rate
	// limit kept the call from being sent, which says nothing about the store.
	ErrStoreRateLimited  = eris.New("store: not asked, held back by this process's rate limit")
	ErrStoreLeaseExpired = eris.New("store: the lease has lapsed")
	// ErrStoreInvalid means that the store rejects the transaction for what it is, and always will.
	ErrStoreInvalid = eris.New("store: the transaction exceeds a limit or is malformed")
	// ErrStoreCompacted means that a watch asked for changes that the store has compacted away.
	ErrStoreCompacted = eris.New("store: the history was compacted")
)

// Store is the platform's key-value service.
//
// After ErrStoreIndeterminate from a write, the caller must read the key and
// compare its value before it writes again.
type Store interface {
	// Get returns the entry under key, or ErrStoreNotFound.
	Get(ctx context.Context, key string) (dotterkey.Entry, error)

	// List returns the entries whose keys start with prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error)

	// Put writes value under key if the key is at version expect (zero: absent)
	// and returns the new version, or ErrStoreConflict. A key with a lease is deleted
	// when the lease ends.
	Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error)

	// Delete removes key if it is at version expect, or returns ErrStoreConflict.
	Delete(ctx context.Context, key string, expect dotterkey.Version) error

	// Watch waits for changes under prefix after the revision and returns them.
	// It returns no changes if none occur before the platform's own time limit.
	Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error)

	// Grant creates a lease that expires unless it is renewed within ttl.
	Grant(ctx context.Context, ttl dotterclock.Millis) (dotterkey.LeaseID, error)

	// Renew extends lease by its full TTL, or returns ErrStoreLeaseExpired.
	Renew(ctx context.Context, lease dotterkey.LeaseID) error

	// Revoke ends lease and deletes its keys.
	Revoke(ctx context.Context, lease dotterkey.LeaseID) error
}

// TransactionalStore is a Store with transactions over several keys and with
// watches whose wait the caller limits.
type TransactionalStore interface {
	Store

	// WatchFor is Watch with a wait of at most timeout. It returns ErrStoreCompacted if
	// the store has compacted changes after the revision.
	WatchFor(ctx context.Context, prefix string, after dotterkey.Revision, timeout dotterclock.Millis) (dotterkey.Changes, error)

	// Commit executes the transaction and returns the revision at which all its
	// keys are written. With ErrStoreConflict it returns the current entries of the
	// keys in Expect, without those that are absent. After ErrStoreIndeterminate
	// the transaction may still take effect as long as its expectations hold, so
	// the caller may retry only the same transaction.
	Commit(ctx context.Context, transaction dotterkey.Transaction) (dotterkey.Revision, []dotterkey.Entry, error)
}
