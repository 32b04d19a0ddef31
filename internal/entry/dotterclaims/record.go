package dotterclaims

import "github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"

// record is the JSON form of a claim in the store. Answer is nil until the request
// has completed.
type record struct {
	Host        string
	Nonce       string
	Fingerprint string
	Answer      *dotterclaim.Answer `json:",omitempty"`
}
