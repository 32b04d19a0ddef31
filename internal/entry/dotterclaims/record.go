package dotterclaims

import "github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"

// record is the stored form of a claim.
type record struct {
	Host        string
	Nonce       string
	Fingerprint string
	Answer      *dotterclaim.Answer `json:",omitempty"`
}
