package dotterfake

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
)

// Claims is an in-memory dotterelusher.Claims.
type Claims struct {
	mu          sync.Mutex
	unavailable bool
	claims      map[dotterclaim.Key]dotterclaim.Claim
	keys        map[string]dotterclaim.Key
}

var _ dotterelusher.Claims = (*Claims)(nil)

// NewClaims returns an empty Claims.
func NewClaims() *Claims {
	return &Claims{claims: make(map[dotterclaim.Key]dotterclaim.Claim), keys: make(map[string]dotterclaim.Key)}
}

// SetUnavailable sets whether Claim fails with ErrClaimsUnavailable.
func (c *Claims) SetUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = unavailable
}

// Claim claims key, or returns the state of an earlier claim of it.
func (c *Claims) Claim(_ context.Context, key dotterclaim.Key, fingerprint string) (dotterclaim.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		return dotterclaim.Claim{}, dotterelusher.ErrClaimsUnavailable
	}
	claim, ok := c.claims[key]
	switch {
	case !ok:
		claim = dotterclaim.Claim{State: dotterclaim.StateOpen, StoreKey: key.Key, Fingerprint: fingerprint}
		c.claims[key] = claim
		c.keys[key.Key] = key
		claim.State = dotterclaim.StateFresh
	case claim.Fingerprint != fingerprint:
		claim.State = dotterclaim.StateMismatch
	}
	return claim, nil
}

// Complete stores the answer to the request of claim.
func (c *Claims) Complete(_ context.Context, claim dotterclaim.Claim, answer dotterclaim.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim.State = dotterclaim.StateAnswered
	claim.Answer = answer
	c.claims[c.keys[claim.StoreKey]] = claim
	return nil
}

// Abandon removes the claim.
func (c *Claims) Abandon(_ context.Context, claim dotterclaim.Claim) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claims, c.keys[claim.StoreKey])
	return nil
}
