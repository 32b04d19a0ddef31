package dottermemory

import (
	"sort"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// snapshot is the content of a store at one revision.
type snapshot struct {
	entries  map[string]dotterkey.Entry
	revision dotterkey.Revision
}

// list returns the entries whose keys start with prefix, sorted by key.
func (s snapshot) list(prefix string) []dotterkey.Entry {
	var found []dotterkey.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}
