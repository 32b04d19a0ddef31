package dotterrevision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

const waitTimeout = 60 * time.Second

func accept(dotterconfig.Document) error { return nil }

func newTestEditor() (*Editor, *dottermemory.Store) {
	clock := dotterclock.NewSystem()
	store := dottermemory.New(clock)
	return NewEditor(store, clock, accept), store
}

// setTeam returns an edit that sets the weight of the team called name.
func setTeam(id, name string, weight float64, base int64) Edit {
	return Edit{Base: base, ChangeID: id, ChangedBy: "test", Change: func(d dotterconfig.Document) (dotterconfig.Document, error) {
		teams := slices.DeleteFunc(slices.Clone(d.Teams), func(t dotterconfig.Team) bool { return t.Name == name })
		d.Teams = append(teams, dotterconfig.Team{Name: name, Weight: weight})
		return d, nil
	}}
}

func storedDocument(t require.TestingT, store *dottermemory.Store) dotterconfig.Document {
	e, err := store.Get(context.Background(), dotterconfig.Key)
	require.NoError(t, err)
	var document dotterconfig.Document
	require.NoError(t, json.Unmarshal(e.Value, &document))
	return document
}

func TestConcurrentEditsAreAppliedOnce(t *testing.T) {
	editor, store := newTestEditor()
	var wait sync.WaitGroup
	store.LoseAnswers(10)
	for i := range 20 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			_, err := editor.Edit(ctx, setTeam(fmt.Sprint("change-", i), fmt.Sprint("team-", i), 1, 0))
			require.NoError(t, err)
		})
	}
	wait.Wait()
	document := storedDocument(t, store)
	require.EqualValues(t, 20, document.Revision)
	require.Len(t, document.Teams, 20)
	require.Len(t, document.Changes, 20)
}

func TestConflictListsChangedItems(t *testing.T) {
	editor, _ := newTestEditor()
	for i, name := range []string{"a", "b", "a"} {
		_, err := editor.Edit(t.Context(), setTeam(fmt.Sprint("change-", i), name, float64(i+1), 0))
		require.NoError(t, err)
	}
	_, err := editor.Edit(t.Context(), setTeam("late", "a", 9, 1))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Len(t, conflict.Conflicting, 1)
	require.EqualValues(t, 3, conflict.Conflicting[0].Revision)
	require.Contains(t, err.Error(), `revision 3 by "test" changed Team a`)

	document, err := editor.Edit(t.Context(), setTeam("other", "c", 9, 1))
	require.NoError(t, err, "an edit of other items is rebased")
	require.EqualValues(t, 4, document.Revision)

	_, err = editor.Edit(t.Context(), setTeam("future", "c", 9, 40))
	require.ErrorAs(t, err, &conflict)
}

func TestEditErrors(t *testing.T) {
	invalid := errors.New("invalid")
	refused := errors.New("refused")
	tests := map[string]struct {
		prepare func(*Editor, *dottermemory.Store)
		change  func(dotterconfig.Document) (dotterconfig.Document, error)
		want    error
		changed bool
	}{
		"Invalid": {
			prepare: func(e *Editor, _ *dottermemory.Store) { e.check = func(dotterconfig.Document) error { return invalid } },
			want:    ErrEditInvalid,
		},
		"Refused":     {change: func(d dotterconfig.Document) (dotterconfig.Document, error) { return d, refused }, want: refused},
		"Unavailable": {prepare: func(_ *Editor, s *dottermemory.Store) { s.SetDown(true) }, want: ErrEditUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			editor, store := newTestEditor()
			if test.prepare != nil {
				test.prepare(editor, store)
			}
			edit := setTeam("change", "a", 1, 0)
			if test.change != nil {
				edit.Change = test.change
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := editor.Edit(ctx, edit)
			require.ErrorIs(t, err, test.want)
			store.SetDown(false)
			_, err = store.Get(t.Context(), dotterconfig.Key)
			require.ErrorIs(t, err, dotterelusher.ErrStoreNotFound)
		})
	}
}

// delayedStore delays the first write of the document: its answer is lost, and it is
// applied only when deliver is called.
type delayedStore struct {
	*dottermemory.Store
	deliver func()
}

func (s *delayedStore) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error) {
	if s.deliver == nil && key == dotterconfig.Key {
		s.deliver = func() { _, _ = s.Store.Put(ctx, key, value, expect, lease) }
		return 0, dotterelusher.ErrStoreIndeterminate
	}
	return s.Store.Put(ctx, key, value, expect, lease)
}

// TestRefusalIsNotFinalWhileWriteIsInTransit checks that an edit which is refused
// when it is retried is not reported as refused while an earlier write of it, whose
// answer was lost, may still take effect.
func TestRefusalIsNotFinalWhileWriteIsInTransit(t *testing.T) {
	clock := dotterclock.NewSystem()
	store := &delayedStore{Store: dottermemory.New(clock)}
	editor := NewEditor(store, clock, accept)
	calls := 0
	edit := setTeam("change", "a", 1, 0)
	change := edit.Change
	edit.Change = func(d dotterconfig.Document) (dotterconfig.Document, error) {
		calls++
		if calls == 1 {
			return change(d)
		}
		if calls == 3 {
			store.deliver()
		}
		return d, errors.New("refused the second time")
	}
	document, err := editor.Edit(t.Context(), edit)
	require.NoError(t, err)
	require.EqualValues(t, 1, document.Revision)
}

func TestEditOnStaleReads(t *testing.T) {
	editor, store := newTestEditor()
	_, err := editor.Edit(t.Context(), setTeam("one", "a", 1, 0))
	require.NoError(t, err)
	store.SetStale(true)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _ = editor.Edit(ctx, setTeam("two", "b", 1, 0))
	ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _ = editor.Edit(ctx, setTeam("three", "c", 1, 0))
	store.SetStale(false)
	document := storedDocument(t, store)
	for i, c := range document.Changes {
		require.EqualValues(t, i+1, c.Revision, "no revision is used twice")
	}
	require.Len(t, document.Teams, len(document.Changes))
}

// referenceChangedItems is a reference implementation of changedItems for teams,
// failure domains and draining hosts. It compares the JSON of each item.
func referenceChangedItems(a, b dotterconfig.Document) []string {
	items := map[string][2]string{}
	put := func(side int, name string, value any) {
		text, _ := json.Marshal(value)
		pair := items[name]
		pair[side] = string(text)
		items[name] = pair
	}
	for side, d := range []dotterconfig.Document{a, b} {
		for _, t := range d.Teams {
			put(side, "Team "+t.Name, t)
		}
		for _, f := range d.FailureDomains {
			put(side, "FailureDomain "+f.Name, f)
		}
		for _, h := range d.Draining {
			put(side, "Draining "+h, h)
		}
	}
	var changed []string
	for name, pair := range items {
		if pair[0] != pair[1] {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func drawDocument(t *rapid.T, label string) dotterconfig.Document {
	var d dotterconfig.Document
	for _, name := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, label+name) {
			d.Teams = append(d.Teams, dotterconfig.Team{Name: name, Weight: float64(rapid.IntRange(1, 2).Draw(t, "weight"))})
		}
		if rapid.Bool().Draw(t, label+name) {
			d.FailureDomains = append(d.FailureDomains, dotterconfig.FailureDomain{Name: name, Out: rapid.Bool().Draw(t, "out")})
		}
		if rapid.Bool().Draw(t, label+name) {
			d.Draining = append(d.Draining, name)
		}
	}
	return d
}

func TestChangedItemsAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t, "a"), drawDocument(t, "b")
		require.Equal(t, referenceChangedItems(a, b), changedItems(a, b))
	})
}

// TestUnreadableDocumentIsNotAnOutage guards against an operator who waits for a store
// that works, because the stored document cannot be decoded.
func TestUnreadableDocumentIsNotAnOutage(t *testing.T) {
	editor, store := newTestEditor()
	_, err := store.Put(t.Context(), dotterconfig.Key, []byte("{"), 0, "")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	_, err = editor.Edit(ctx, setTeam("change", "team", 1, 0))
	require.ErrorIs(t, err, ErrDocumentUnreadable)
	require.NoError(t, ctx.Err(), "the refusal must not wait for the deadline")
	e, err := store.Get(t.Context(), dotterconfig.Key)
	require.NoError(t, err)
	require.Equal(t, "{", string(e.Value))
}
