package dotterfake

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
)

// Claims keeps claims in memory.
type Claims struct {
	mu     sync.Mutex
	away   bool
	claims map[dotterclaim.Key]dotterclaim.Claim
	keys   map[string]dotterclaim.Key
}

var _ dotterelusher.Claims = (*Claims)(nil)

// NewClaims returns claims of which there are none yet.
func NewClaims() *Claims {
	return &Claims{claims: make(map[dotterclaim.Key]dotterclaim.Claim), keys: make(map[string]dotterclaim.Key)}
}

// SetUnavailable makes Claim fail, or work again.
func (c *Claims) SetUnavailable(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
}

// Claim claims key.
func (c *Claims) Claim(_ context.Context, key dotterclaim.Key, fingerprint string) (dotterclaim.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
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

// Complete keeps the answer.
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
