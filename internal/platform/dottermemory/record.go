package dottermemory

import "github.com/dotterelusher/dotterelusher/internal/model/dotterkey"

// record is the newest change of one key; a deleted key keeps its record so
// that watches which continue from an older revision learn of the deletion.
type record struct {
	entry    dotterkey.Entry
	deleted  bool
	revision dotterkey.Revision
}
