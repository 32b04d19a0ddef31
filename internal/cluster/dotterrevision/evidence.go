package dotterrevision

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// ageNever is the age of an event that has never happened.
const ageNever dotterclock.Millis = -1

// Evidence is the answer of one entry host to another on whether its document is
// current.
type Evidence struct {
	Revision  int64
	ProvedAge dotterclock.Millis // age of the latest proof that the document is current; -1 if none
	OutageAge dotterclock.Millis // age of the latest read of the store if that failed; -1 if not
}
