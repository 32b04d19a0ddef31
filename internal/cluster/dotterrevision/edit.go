package dotterrevision

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

// Edit describes one change of the configuration by an operator.
type Edit struct {
	Base      int64  // revision on which the change is based; zero for the latest
	ChangeID  string // identifies the edit; an edit with the same id is applied only once
	ChangedBy string
	// Change returns the document with the change applied. It may be called again
	// with a newer document. If it returns an error, the edit ends with that error.
	Change func(dotterconfig.Document) (dotterconfig.Document, error)
}
