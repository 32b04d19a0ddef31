package dotterclaim

import "net/http"

// Answer is a kept answer.
type Answer struct {
	Status  int
	Header  http.Header `json:",omitempty"`
	Body    []byte      `json:",omitempty"`
	Omitted bool        `json:",omitempty"` // the request ran; its answer was too large to be kept
}
