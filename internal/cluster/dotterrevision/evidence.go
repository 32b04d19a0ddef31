package dotterrevision

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// noAge stands for something that has never happened.
const noAge dotterclock.Millis = -1

// Evidence is what one entry host tells another about how current its document is.
type Evidence struct {
	Revision  int64
	ProvedAge dotterclock.Millis // age of the proof that the document is current; -1: none
	OutageAge dotterclock.Millis // age of the last read of the store, which failed; -1: it worked
}
