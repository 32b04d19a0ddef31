package dotterclaim

import "github.com/dotterelusher/dotterelusher/internal/model/dotterkey"

// State is what is known about the request that claimed a key.
type State string

// The states of a claim.
const (
	StateFresh    State = "Fresh"    // claimed just now for this request
	StateOpen     State = "Open"     // claimed earlier; whether that request ran is not known
	StateAnswered State = "Answered" // the request ran and its answer is stored
	StateMismatch State = "Mismatch" // claimed earlier for a request with another fingerprint
)

// Claim is a claim on an idempotency key, as read from the store or just written.
type Claim struct {
	State       State
	StoreKey    string
	Fingerprint string
	Nonce       string // identifies the claiming request, so that it can recognize its own claim after an indeterminate write
	Version     dotterkey.Version
	Lease       dotterkey.LeaseID
	Answer      Answer
}
