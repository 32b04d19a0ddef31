package dotterclaims

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
)

const (
	// Prefix starts the store keys of all claims.
	Prefix = "claims/"
	// LargestAnswer is the largest body, in bytes, that is kept.
	LargestAnswer = 64 << 10

	retainMillis  = 24 * 60 * 60 * dotterclock.Second
	windowMillis  = 60 * 60 * dotterclock.Second
	resolveTries  = 3
	longestKey    = 128 // bytes of a key that are kept readable in its store key
	retryMillis   = 100 * dotterclock.Millisecond
	completeTries = 6
)

// errNotThereYet means that a claim was not found, or the store not reached.
var errNotThereYet = eris.New("claims: the claim is not there")

// Claims claims keys in a Store.
type Claims struct {
	host   string
	store  dotterelusher.Store
	clock  dotterelusher.Clock
	leases *leaseWindow
}

var _ dotterelusher.Claims = (*Claims)(nil)

// New returns claims made by the entry host called host.
func New(host string, store dotterelusher.Store, clock dotterelusher.Clock) *Claims {
	return &Claims{
		host:   host,
		store:  store,
		clock:  clock,
		leases: &leaseWindow{store: store, clock: clock, retain: retainMillis, window: windowMillis},
	}
}

// Claim claims key, or returns ErrClaimsUnavailable when the store can't tell
// who has it. The claim returned with the error is Open if it may have been made.
func (c *Claims) Claim(ctx context.Context, key dotterclaim.Key, fingerprint string) (dotterclaim.Claim, error) {
	claim := dotterclaim.Claim{
		StoreKey:    storeKey(key),
		Fingerprint: fingerprint,
		Nonce:       newNonce(),
	}
	var err error
	for range resolveTries {
		claim, err = c.claimOnce(ctx, claim)
		if err == nil {
			return claim, nil
		}
		if ctx.Err() != nil || errors.Is(err, dotterelusher.ErrStoreUnavailable) {
			break
		}
	}
	return claim, eris.Wrapf(dotterelusher.ErrClaimsUnavailable, "claim: %v", err)
}

// claimOnce writes the claim and reads it back when that is refused or its
// answer is lost: the nonce tells whether the record there is this claim.
func (c *Claims) claimOnce(ctx context.Context, claim dotterclaim.Claim) (dotterclaim.Claim, error) {
	lease, err := c.leases.current(ctx)
	if err != nil {
		return claim, err
	}
	value, err := c.encode(claim, nil)
	if err != nil {
		return claim, err
	}
	claim.Lease = lease
	version, err := c.store.Put(ctx, claim.StoreKey, value, 0, lease)
	switch {
	case err == nil:
		claim.State = dotterclaim.StateFresh
		claim.Version = version
		return claim, nil
	case errors.Is(err, dotterelusher.ErrStoreLeaseLapsed):
		c.leases.forget(lease)
		return claim, err
	case errors.Is(err, dotterelusher.ErrStoreConflict):
		return c.readBack(ctx, claim)
	case errors.Is(err, dotterelusher.ErrStoreIndeterminate):
		claim.State = dotterclaim.StateOpen
		return c.readBack(ctx, claim)
	}
	return claim, err
}

func (c *Claims) readBack(ctx context.Context, claim dotterclaim.Claim) (dotterclaim.Claim, error) {
	entry, err := c.store.Get(ctx, claim.StoreKey)
	if err != nil {
		return claim, err
	}
	var r record
	err = json.Unmarshal(entry.Value, &r)
	if err != nil {
		return claim, eris.Wrap(err, "claim record")
	}
	claim.Version = entry.Version
	switch {
	case r.Nonce == claim.Nonce:
		claim.State = dotterclaim.StateFresh
	case r.Fingerprint != claim.Fingerprint:
		claim.State = dotterclaim.StateMismatch
	case r.Answer == nil:
		claim.State = dotterclaim.StateOpen
	default:
		claim.State = dotterclaim.StateAnswered
		claim.Answer = *r.Answer
	}
	return claim, nil
}

// Complete keeps answer, trying again for a while when the store is away.
func (c *Claims) Complete(ctx context.Context, claim dotterclaim.Claim, answer dotterclaim.Answer) error {
	if len(answer.Body) > LargestAnswer {
		answer = dotterclaim.Answer{Status: answer.Status, Omitted: true}
	}
	value, err := c.encode(claim, &answer)
	if err != nil {
		return err
	}
	return c.persist(ctx, func() error {
		_, err := c.store.Put(ctx, claim.StoreKey, value, claim.Version, claim.Lease)
		return err
	})
}

// Abandon removes a claim whose request has not run. It may be called for a claim
// that Claim could not tell to be made, which is then looked for.
func (c *Claims) Abandon(ctx context.Context, claim dotterclaim.Claim) error {
	return c.persist(ctx, func() error {
		if claim.State == dotterclaim.StateFresh {
			return c.store.Delete(ctx, claim.StoreKey, claim.Version)
		}
		return c.removeUncertain(ctx, claim)
	})
}

// removeUncertain removes claim if it is there. While it is not, it may still
// come, so the caller looks again.
func (c *Claims) removeUncertain(ctx context.Context, claim dotterclaim.Claim) error {
	found, err := c.readBack(ctx, claim)
	if err != nil {
		return eris.Wrap(errNotThereYet, err.Error())
	}
	if found.State != dotterclaim.StateFresh {
		return nil
	}
	return c.store.Delete(ctx, claim.StoreKey, found.Version)
}

// persist repeats write until it has taken effect. A conflict means that an
// earlier try whose answer was lost has: nobody else writes over a claim.
func (c *Claims) persist(ctx context.Context, write func() error) error {
	pause := retryMillis
	var err error
	for range completeTries {
		err = write()
		if err == nil || errors.Is(err, dotterelusher.ErrStoreConflict) || errors.Is(err, dotterelusher.ErrStoreNotFound) {
			return nil
		}
		select {
		case <-c.clock.After(pause):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "claim not completed")
		}
		pause *= 2
	}
	return eris.Wrap(err, "claim not completed")
}

func (c *Claims) encode(claim dotterclaim.Claim, answer *dotterclaim.Answer) ([]byte, error) {
	value, err := json.Marshal(record{
		Host:        c.host,
		Nonce:       claim.Nonce,
		Fingerprint: claim.Fingerprint,
		Answer:      answer,
	})
	if err != nil {
		return nil, eris.Wrap(err, "claim record")
	}
	return value, nil
}

// storeKey returns the store key of key; a long one is cut and told apart by its hash.
func storeKey(key dotterclaim.Key) string {
	name := url.PathEscape(key.Key)
	if len(name) > longestKey {
		name = fmt.Sprintf("%s~%x", name[:longestKey], sha256.Sum256([]byte(key.Key)))
	}
	return Prefix + url.PathEscape(key.Team) + "/" + url.PathEscape(key.Template) + "/" + name
}
