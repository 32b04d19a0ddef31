package dotterclaims

import "crypto/rand"

// newNonce returns a random string that identifies one claim.
func newNonce() string {
	return rand.Text()
}
