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
	// Prefix is the prefix of the store keys of all claims.
	Prefix = "claims/"
	// MaxAnswerBytes is the largest answer body that is stored with a claim.
	MaxAnswerBytes = 64 << 10

	retentionMillis     = 24 * 60 * 60 * dotterclock.Second
	leaseWindowMillis   = 60 * 60 * dotterclock.Second
	maxClaimTries       = 3
	maxReadableKeyBytes = 128 // escaped bytes of a key before its store key is cut and hashed
	firstRetryMillis    = 100 * dotterclock.Millisecond
	maxWriteTries       = 6
)

// errClaimNotFound means that a claim could not be read back: the store has no
// record of it, or did not answer.
var errClaimNotFound = eris.New("claims: claim record could not be read back")

// Claims claims idempotency keys in a Store.
type Claims struct {
	host   string
	store  dotterelusher.Store
	clock  dotterelusher.Clock
	leases *leaseWindow
}

var _ dotterelusher.Claims = (*Claims)(nil)

// New returns a Claims that makes claims on behalf of the entry host called host.
func New(host string, store dotterelusher.Store, clock dotterelusher.Clock) *Claims {
	return &Claims{
		host:   host,
		store:  store,
		clock:  clock,
		leases: &leaseWindow{store: store, clock: clock, minLifetime: retentionMillis, issueWindow: leaseWindowMillis},
	}
}

// Claim claims key, or returns ErrClaimsUnavailable if the store could not be
// reached or did not say which request holds the key. The claim returned with
// the error is Open if it may have been written.
func (c *Claims) Claim(ctx context.Context, key dotterclaim.Key, fingerprint string) (dotterclaim.Claim, error) {
	claim := dotterclaim.Claim{
		StoreKey:    storeKey(key),
		Fingerprint: fingerprint,
		Nonce:       newNonce(),
	}
	var err error
	for range maxClaimTries {
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

// claimOnce writes the claim if the key is absent. If the write conflicts or its
// answer is lost, it reads the record back and compares the nonce to tell whether
// that is this claim.
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
	case errors.Is(err, dotterelusher.ErrStoreLeaseExpired):
		c.leases.drop(lease)
		return claim, err
	case errors.Is(err, dotterelusher.ErrStoreConflict):
		return c.readBack(ctx, claim)
	case errors.Is(err, dotterelusher.ErrStoreIndeterminate):
		claim.State = dotterclaim.StateOpen
		return c.readBack(ctx, claim)
	}
	return claim, err
}

// readBack reads the record stored under the claim's key and sets the claim's
// state, version and answer from it.
func (c *Claims) readBack(ctx context.Context, claim dotterclaim.Claim) (dotterclaim.Claim, error) {
	entry, err := c.store.Get(ctx, claim.StoreKey)
	if err != nil {
		return claim, err
	}
	var r record
	err = json.Unmarshal(entry.Value, &r)
	if err != nil {
		return claim, eris.Wrap(err, "decode claim record")
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

// Complete stores answer with the claim. It retries with exponential backoff
// while the store is unavailable. An oversized answer is replaced by a marker.
func (c *Claims) Complete(ctx context.Context, claim dotterclaim.Claim, answer dotterclaim.Answer) error {
	if len(answer.Body) > MaxAnswerBytes {
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

// Abandon removes a claim whose request has not run. A claim that is not fresh may
// or may not have been written; it is looked up first.
func (c *Claims) Abandon(ctx context.Context, claim dotterclaim.Claim) error {
	return c.persist(ctx, func() error {
		if claim.State == dotterclaim.StateFresh {
			return c.store.Delete(ctx, claim.StoreKey, claim.Version)
		}
		return c.removeUncertain(ctx, claim)
	})
}

// removeUncertain removes claim if the record in the store is this claim. It
// returns errClaimNotFound while there is no record, because the write may still
// take effect; the caller then retries.
func (c *Claims) removeUncertain(ctx context.Context, claim dotterclaim.Claim) error {
	found, err := c.readBack(ctx, claim)
	if err != nil {
		return eris.Wrap(errClaimNotFound, err.Error())
	}
	if found.State != dotterclaim.StateFresh {
		return nil
	}
	return c.store.Delete(ctx, claim.StoreKey, found.Version)
}

// persist retries write with exponential backoff until it has taken effect. A
// conflict means that an earlier try, whose answer was lost, took effect, since
// no other request overwrites a claim.
func (c *Claims) persist(ctx context.Context, write func() error) error {
	delay := firstRetryMillis
	var err error
	for range maxWriteTries {
		err = write()
		if err == nil || errors.Is(err, dotterelusher.ErrStoreConflict) || errors.Is(err, dotterelusher.ErrStoreNotFound) {
			return nil
		}
		select {
		case <-c.clock.After(delay):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "write claim")
		}
		delay *= 2
	}
	return eris.Wrap(err, "write claim")
}

func (c *Claims) encode(claim dotterclaim.Claim, answer *dotterclaim.Answer) ([]byte, error) {
	value, err := json.Marshal(record{
		Host:        c.host,
		Nonce:       claim.Nonce,
		Fingerprint: claim.Fingerprint,
		Answer:      answer,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode claim record")
	}
	return value, nil
}

// storeKey returns the store key of key. A key that is too long is truncated, and
// a hash of the whole key keeps it unique.
func storeKey(key dotterclaim.Key) string {
	name := url.PathEscape(key.Key)
	if len(name) > maxReadableKeyBytes {
		name = fmt.Sprintf("%s~%x", name[:maxReadableKeyBytes], sha256.Sum256([]byte(key.Key)))
	}
	return Prefix + url.PathEscape(key.Team) + "/" + url.PathEscape(key.Template) + "/" + name
}
