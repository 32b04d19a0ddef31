package dotterrevision

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Errors returned by an Editor, besides ConflictError.
var (
	// ErrEditInvalid means that the changed document would not be valid.
	ErrEditInvalid = eris.New("configuration: the change is not valid, nothing was changed")
	// ErrEditUnavailable means that the edit timed out and nothing was changed.
	ErrEditUnavailable = eris.New("configuration: the store is unavailable, nothing was changed")
	// ErrDocumentUnreadable means that the stored document cannot be decoded, so that no
	// change can be based on it. Nothing was changed.
	ErrDocumentUnreadable = eris.New("configuration: the stored document can't be decoded, nothing was changed")
	// ErrEditUnknown means that the change may have been made. Repeating the edit
	// with the same change id is safe and determines the outcome.
	ErrEditUnknown = eris.New("configuration: no answer, the change may have been made")
)

// Bounds of the backoff between attempts of an edit.
const (
	minEditBackoff = 20 * dotterclock.Millisecond
	maxEditBackoff = dotterclock.Second
)

// Editor changes the configuration in the store.
type Editor struct {
	store dotterelusher.Store
	clock dotterelusher.Clock
	check func(dotterconfig.Document) error
}

// NewEditor returns an editor that accepts only documents for which check returns nil.
func NewEditor(store dotterelusher.Store, clock dotterelusher.Clock, check func(dotterconfig.Document) error) *Editor {
	return &Editor{store: store, clock: clock, check: check}
}

// Edit applies edit and returns the resulting document, which may already contain
// later changes. It retries until ctx ends. The error is a ConflictError,
// ErrEditInvalid, ErrEditUnavailable, ErrEditUnknown or the error of edit.Change.
// After any error but ErrEditUnknown nothing was changed.
func (e *Editor) Edit(ctx context.Context, edit Edit) (dotterconfig.Document, error) {
	var writes indeterminateWrites
	backoff := minEditBackoff
	for {
		document, done, err := e.tryEdit(ctx, edit, &writes)
		if done {
			return document, err
		}
		if !e.pause(ctx, backoff/2+rand.N(backoff)) {
			return dotterconfig.Document{}, writes.timeoutError()
		}
		backoff = min(2*backoff, maxEditBackoff)
	}
}

// tryEdit reads the document and attempts one write. If done is false, the edit
// must be retried: the store failed or answered a stale value, or the write lost a
// race.
func (e *Editor) tryEdit(ctx context.Context, edit Edit, writes *indeterminateWrites) (document dotterconfig.Document, done bool, err error) {
	current, version, err := e.readDocument(ctx)
	if err != nil {
		return document, errors.Is(err, ErrDocumentUnreadable) && writes.refusalFinal(version), err
	}
	if containsChange(current, edit.ChangeID) {
		return current, true, nil
	}
	if writes.staleRead(version) {
		return document, false, nil
	}
	next, err := e.rebase(current, edit)
	if err != nil {
		return document, writes.refusalFinal(version), err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return document, true, eris.Wrap(ErrEditInvalid, err.Error())
	}
	if err := raiseStamp(ctx, e.store, next.Revision); err != nil {
		return document, false, err
	}
	_, err = e.store.Put(ctx, dotterconfig.Key, value, version, "")
	writes.record(version, err)
	return next, err == nil, err
}

// readDocument returns the document in the store and its version. If there is none,
// the document is empty and the version zero.
func (e *Editor) readDocument(ctx context.Context) (dotterconfig.Document, dotterkey.Version, error) {
	var document dotterconfig.Document
	entry, err := e.store.Get(ctx, dotterconfig.Key)
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return document, 0, nil
	}
	if err != nil {
		return document, 0, err
	}
	if err := json.Unmarshal(entry.Value, &document); err != nil {
		return document, entry.Version, eris.Wrapf(ErrDocumentUnreadable, "version %d: %v", entry.Version, err)
	}
	return document, entry.Version, nil
}

// rebase applies edit to current and returns the next document, or the error for
// which the edit is refused.
func (e *Editor) rebase(current dotterconfig.Document, edit Edit) (dotterconfig.Document, error) {
	next, err := edit.Change(current)
	if err != nil {
		return next, err
	}
	items := changedItems(current, next)
	if err := conflict(current, edit.Base, items); err != nil {
		return next, err
	}
	next = withNextRevision(next, current, edit, items)
	if err := e.check(next); err != nil {
		return next, eris.Wrap(ErrEditInvalid, err.Error())
	}
	return next, nil
}

// conflict returns a ConflictError if any of items has changed since base, or if
// the recorded changes do not reach back to base.
func conflict(current dotterconfig.Document, base int64, items []string) error {
	if base == 0 || base == current.Revision {
		return nil
	}
	refused := &ConflictError{Base: base, Current: current.Revision}
	if len(current.Changes) == 0 || current.Changes[0].Revision > base+1 || base > current.Revision {
		return refused
	}
	for _, c := range current.Changes {
		if c.Revision > base && overlap(c.Items, items) {
			refused.Conflicting = append(refused.Conflicting, c)
		}
	}
	if len(refused.Conflicting) == 0 {
		return nil
	}
	return refused
}

// withNextRevision returns next with the revision after that of current, and with
// edit added to its recorded changes.
func withNextRevision(next, current dotterconfig.Document, edit Edit, items []string) dotterconfig.Document {
	next.Revision = current.Revision + 1
	next.ChangeID = edit.ChangeID
	next.ChangedBy = edit.ChangedBy
	change := dotterconfig.Change{
		Revision:  next.Revision,
		ChangeID:  edit.ChangeID,
		ChangedBy: edit.ChangedBy,
		Items:     items,
	}
	next.Changes = append(slices.Clone(current.Changes), change)
	if excess := len(next.Changes) - dotterconfig.MaxChanges; excess > 0 {
		next.Changes = next.Changes[excess:]
	}
	return next
}

// containsChange reports whether document records a change with the given id.
func containsChange(document dotterconfig.Document, id string) bool {
	return slices.ContainsFunc(document.Changes, func(c dotterconfig.Change) bool { return c.ChangeID == id })
}

// pause waits for duration and returns true, or returns false if ctx ends first.
func (e *Editor) pause(ctx context.Context, duration dotterclock.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.clock.After(duration):
		return true
	}
}
