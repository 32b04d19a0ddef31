package dottermemory

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// maxLoggedChanges is the number of changes at which the older half is dropped.
const maxLoggedChanges = 1 << 16

// changeLog lists the key that changed at each revision, oldest first. A reader that
// needs older changes than the log holds must scan all records.
type changeLog struct {
	changes []change
	dropped dotterkey.Revision // changes up to this revision are no longer in the log
}

type change struct {
	revision dotterkey.Revision
	key      string
}

func (l *changeLog) add(revision dotterkey.Revision, key string) {
	l.changes = append(l.changes, change{revision, key})
	if len(l.changes) < maxLoggedChanges {
		return
	}
	half := len(l.changes) / 2
	l.dropped = l.changes[half-1].revision
	l.changes = append([]change(nil), l.changes[half:]...)
}

// since returns the keys that changed after the revision, or false if the log no longer
// holds all of those changes.
func (l *changeLog) since(after dotterkey.Revision) (map[string]bool, bool) {
	if after < l.dropped {
		return nil, false
	}
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > after })
	keys := make(map[string]bool, len(l.changes)-first)
	for _, c := range l.changes[first:] {
		keys[c.key] = true
	}
	return keys, true
}
