package dottermessage

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

// EditRequest is the body of POST /v1/configuration/edits.
type EditRequest struct {
	ChangeID string // identifies the change; repeating a request with the same ID has no further effect
	By       string // name of the operator
	Edits    []dotterconfig.Edit
}

// EditAnswer is the answer to POST /v1/configuration/edits.
type EditAnswer struct {
	Revision int64 // revision that contains the change
}
