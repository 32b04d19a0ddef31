package dotterclaim

import "github.com/dotterelusher/dotterelusher/internal/model/dotterkey"

// State says what is known about the request that claimed a key.
type State string

// The states of a claim.
const (
	StateFresh    State = "Fresh"    // claimed just now, for this request
	StateOpen     State = "Open"     // claimed before; whether it ran is not known
	StateAnswered State = "Answered" // ran; the answer is kept
	StateMismatch State = "Mismatch" // claimed before, for another request
)

// Claim is a claim on a key.
type Claim struct {
	State       State
	StoreKey    string
	Fingerprint string
	Nonce       string // names the claiming request, so that a lost answer can be resolved
	Version     dotterkey.Version
	Lease       dotterkey.LeaseID
	Answer      Answer
}
