package dottermemory

import "github.com/dotterelusher/dotterelusher/internal/model/dotterkey"

// record is the latest change of one key. The record of a deleted key is kept so that
// watches that continue from an older revision report the deletion.
type record struct {
	entry    dotterkey.Entry
	deleted  bool
	revision dotterkey.Revision
}
