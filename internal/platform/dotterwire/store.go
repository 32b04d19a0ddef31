package dotterwire

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Paths of the store's calls.
const (
	PathGet    = "/store/get"
	PathList   = "/store/list"
	PathPut    = "/store/put"
	PathDelete = "/store/delete"
	PathWatch  = "/store/watch"
	PathGrant  = "/store/grant"
	PathRenew  = "/store/renew"
	PathRevoke = "/store/revoke"
)

// StoreCall is the request body of every store call. Each call sets only the fields it
// needs.
type StoreCall struct {
	Key    string             `json:",omitempty"`
	Prefix string             `json:",omitempty"`
	Value  []byte             `json:",omitempty"`
	Expect dotterkey.Version  `json:",omitempty"`
	Lease  dotterkey.LeaseID  `json:",omitempty"`
	After  dotterkey.Revision `json:",omitempty"`
	Span   dotterclock.Millis `json:",omitempty"`
}

// StoreAnswer is the body of every successful answer of the store.
type StoreAnswer struct {
	Entries  []dotterkey.Entry  `json:",omitempty"`
	Deleted  []string           `json:",omitempty"`
	Revision dotterkey.Revision `json:",omitempty"`
	Version  dotterkey.Version  `json:",omitempty"`
	Lease    dotterkey.LeaseID  `json:",omitempty"`
}
