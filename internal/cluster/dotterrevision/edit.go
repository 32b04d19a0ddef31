package dotterrevision

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

// Edit is one change that an operator wants to make.
type Edit struct {
	Base      int64  // revision that the operator looked at; zero: whatever is in force
	ChangeID  string // names the edit; the same id is never applied twice
	ChangedBy string
	// Change returns the document with the change made. It may be called more
	// than once, with newer documents, and its error ends the edit.
	Change func(dotterconfig.Document) (dotterconfig.Document, error)
}
