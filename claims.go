package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
)

// ErrClaimsUnavailable means that a key can't be claimed at present and that the
// request must not count as claimed.
var ErrClaimsUnavailable = eris.New("claims: unavailable")

// Claims makes sure that of all requests with one idempotency key, on all entry
// hosts together, one runs.
type Claims interface {
	// Claim claims key for a request with the fingerprint. The claim is Fresh when
	// the caller of Claim is to run the request, or says what became of the first
	// one. With ErrClaimsUnavailable it is Open if it may have been made all the same.
	Claim(ctx context.Context, key dotterclaim.Key, fingerprint string) (dotterclaim.Claim, error)

	// Complete keeps the answer to the request of a fresh claim.
	Complete(ctx context.Context, claim dotterclaim.Claim, answer dotterclaim.Answer) error

	// Abandon gives a claim back, fresh or in doubt, whose request has not run.
	Abandon(ctx context.Context, claim dotterclaim.Claim) error
}
