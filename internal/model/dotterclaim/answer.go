package dotterclaim

import "net/http"

// Answer is the stored answer to the request that claimed a key.
type Answer struct {
	Status  int
	Header  http.Header `json:",omitempty"`
	Body    []byte      `json:",omitempty"`
	Omitted bool        `json:",omitempty"` // the request ran, but its answer was too large to store
}
