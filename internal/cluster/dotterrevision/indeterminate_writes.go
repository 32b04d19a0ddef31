package dotterrevision

import (
	"errors"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// indeterminateWrites tracks the writes of one edit whose outcome is unknown. A
// write whose answer was lost may still be in transit. It takes effect only if the
// document is still at the version that it expects.
type indeterminateWrites struct {
	seen        bool              // whether there was such a write
	maxExpected dotterkey.Version // highest version that such a write expects
}

// record records the result of a write that expects version.
func (w *indeterminateWrites) record(version dotterkey.Version, err error) {
	if !errors.Is(err, dotterelusher.ErrStoreIndeterminate) {
		return
	}
	w.seen = true
	w.maxExpected = max(w.maxExpected, version)
}

// staleRead reports whether version, just read, is older than the version that an
// earlier write was based on.
func (w *indeterminateWrites) staleRead(version dotterkey.Version) bool {
	return w.seen && version < w.maxExpected
}

// refusalFinal reports whether a refusal of the edit at version is final, that is
// whether no earlier write of the edit can take effect any more.
func (w *indeterminateWrites) refusalFinal(version dotterkey.Version) bool {
	return !w.seen || version > w.maxExpected
}

// timeoutError returns the error of an edit that has timed out.
func (w *indeterminateWrites) timeoutError() error {
	if w.seen {
		return ErrEditUnknown
	}
	return ErrEditUnavailable
}
