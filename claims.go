package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
)

// ErrClaimsUnavailable means that the key can't be claimed at present. The caller
// must treat the request as not claimed.
var ErrClaimsUnavailable = eris.New("claims: unavailable")

// Claims ensures that at most one of the requests with the same idempotency key
// runs, across all entry hosts.
type Claims interface {
	// Claim claims key for a request with the given fingerprint. The state of the
	// claim is Fresh if the caller is to run the request; any other state describes
	// the request that claimed the key earlier. If Claim returns ErrClaimsUnavailable
	// but may have written the claim to the store, the state is Open.
	Claim(ctx context.Context, key dotterclaim.Key, fingerprint string) (dotterclaim.Claim, error)

	// Complete stores the answer to the request of a fresh claim.
	Complete(ctx context.Context, claim dotterclaim.Claim, answer dotterclaim.Answer) error

	// Abandon releases a claim whose request has not run. The claim is fresh, or
	// it is uncertain whether it was written.
	Abandon(ctx context.Context, claim dotterclaim.Claim) error
}
