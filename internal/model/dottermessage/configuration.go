package dottermessage

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

// EditRequest is the body of POST /v1/configuration/edits.
type EditRequest struct {
	ChangeID string // names the change: repeating the same one changes nothing
	By       string // who makes it
	Edits    []dotterconfig.Edit
}

// EditAnswer is the answer to POST /v1/configuration/edits.
type EditAnswer struct {
	Revision int64 // revision that has the change
}
