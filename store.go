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
	// ErrStoreNotAsked comes with ErrStoreUnavailable when this process's own rate
	// limit held the call back, which tells nothing about the store.
	ErrStoreNotAsked    = eris.New("store: not asked, held back by this process's rate limit")
	ErrStoreLeaseLapsed = eris.New("store: the lease has lapsed")
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
