package dotterclaims

import "crypto/rand"

// newNonce returns a text that no other claim has.
func newNonce() string {
	return rand.Text()
}
