package dotterrevision

import (
	"errors"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// attempts are the writes of one edit whose fate is not known. A write whose
// answer was lost may still be on its way, and lands only if the document is
// still at the version that it expects.
type attempts struct {
	unknown bool              // some write's fate is not known
	base    dotterkey.Version // the highest version that such a write expects
}

// wrote takes in how a write that expects version ended.
func (a *attempts) wrote(version dotterkey.Version, err error) {
	if !errors.Is(err, dotterelusher.ErrStoreIndeterminate) {
		return
	}
	a.unknown = true
	a.base = max(a.base, version)
}

// outdated reports whether a read of version is older than what a write was based on.
func (a *attempts) outdated(version dotterkey.Version) bool {
	return a.unknown && version < a.base
}

// final reports whether a refusal of the edit on version holds for good: no
// earlier write of it can land any more.
func (a *attempts) final(version dotterkey.Version) bool {
	return !a.unknown || version > a.base
}

// unfinished returns the error of an edit whose time has run out.
func (a *attempts) unfinished() error {
	if a.unknown {
		return ErrEditUnknown
	}
	return ErrEditUnavailable
}
