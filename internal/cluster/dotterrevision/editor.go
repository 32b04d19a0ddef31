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

// Errors of an Editor, besides ConflictError.
var (
	// ErrEditInvalid means that the document with the change made is not valid.
	ErrEditInvalid = eris.New("configuration: the change is not valid, nothing was changed")
	// ErrEditUnavailable means that the store gave no answer in time and nothing was changed.
	ErrEditUnavailable = eris.New("configuration: the store is unavailable, nothing was changed")
	// ErrEditUnknown means that the change may have been made; repeating the edit
	// with the same change id is safe and tells.
	ErrEditUnknown = eris.New("configuration: no answer, the change may have been made")
)

// Spans of retrying an edit.
const (
	firstEditRetry = 20 * dotterclock.Millisecond
	lastEditRetry  = dotterclock.Second
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

// Edit makes the change and returns the document that holds it, which may
// already hold later changes too. It goes on until ctx ends. The error is a
// ConflictError, ErrEditInvalid, ErrEditUnavailable, ErrEditUnknown or what
// edit.Change returned; after any but ErrEditUnknown nothing was changed.
func (e *Editor) Edit(ctx context.Context, edit Edit) (dotterconfig.Document, error) {
	var a attempts
	retry := firstEditRetry
	for {
		document, done, err := e.attempt(ctx, edit, &a)
		if done {
			return document, err
		}
		if !e.pause(ctx, retry/2+rand.N(retry)) {
			return dotterconfig.Document{}, a.unfinished()
		}
		retry = min(2*retry, lastEditRetry)
	}
}

// attempt reads the document and makes one write. Unless done, the edit is to be
// tried again: the store failed or answered an old value, or the write lost a race.
func (e *Editor) attempt(ctx context.Context, edit Edit, a *attempts) (document dotterconfig.Document, done bool, err error) {
	current, version, err := e.current(ctx)
	if err != nil {
		return document, false, err
	}
	if made(current, edit.ChangeID) {
		return current, true, nil
	}
	if a.outdated(version) {
		return document, false, nil
	}
	next, err := e.remake(current, edit)
	if err != nil {
		return document, a.final(version), err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return document, true, eris.Wrap(ErrEditInvalid, err.Error())
	}
	if err := raiseStamp(ctx, e.store, next.Revision); err != nil {
		return document, false, err
	}
	_, err = e.store.Put(ctx, dotterconfig.Key, value, version, "")
	a.wrote(version, err)
	return next, err == nil, err
}

// current returns the document in the store; without one it is empty at version zero.
func (e *Editor) current(ctx context.Context) (dotterconfig.Document, dotterkey.Version, error) {
	var document dotterconfig.Document
	entry, err := e.store.Get(ctx, dotterconfig.Key)
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return document, 0, nil
	}
	if err != nil {
		return document, 0, err
	}
	return document, entry.Version, json.Unmarshal(entry.Value, &document)
}

// remake makes the edit on current, or refuses it.
func (e *Editor) remake(current dotterconfig.Document, edit Edit) (dotterconfig.Document, error) {
	next, err := edit.Change(current)
	if err != nil {
		return next, err
	}
	items := changedItems(current, next)
	if err := conflict(current, edit.Base, items); err != nil {
		return next, err
	}
	next = numbered(next, current, edit, items)
	if err := e.check(next); err != nil {
		return next, eris.Wrap(ErrEditInvalid, err.Error())
	}
	return next, nil
}

// conflict returns a ConflictError if any of items has changed since base, or if
// that can't be known any more.
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
			refused.Since = append(refused.Since, c)
		}
	}
	if len(refused.Since) == 0 {
		return nil
	}
	return refused
}

// numbered returns next as the revision after current, made by edit.
func numbered(next, current dotterconfig.Document, edit Edit, items []string) dotterconfig.Document {
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
	if excess := len(next.Changes) - dotterconfig.KeptChanges; excess > 0 {
		next.Changes = next.Changes[excess:]
	}
	return next
}

// made reports whether document holds the change called id.
func made(document dotterconfig.Document, id string) bool {
	return slices.ContainsFunc(document.Changes, func(c dotterconfig.Change) bool { return c.ChangeID == id })
}

func (e *Editor) pause(ctx context.Context, span dotterclock.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.clock.After(span):
		return true
	}
}
