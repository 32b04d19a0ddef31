package dotterstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
)

var _ dotterelusher.Store = (*Client)(nil)

// Client is a client of the platform's store over HTTP.
type Client struct {
	address string
	caller  string
	limits  Limits
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	breaker *breaker
}

// New returns a client of the store at address (IP:port) that identifies itself as caller.
func New(address, caller string, limits Limits, clock dotterelusher.Clock) *Client {
	return &Client{
		address: address,
		caller:  caller,
		limits:  limits,
		http:    dotterwire.NewClient(),
		reads:   rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), limits.Burst),
		writes:  rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.Burst),
		breaker: newBreaker(clock),
	}
}

// Get returns the entry under key, or ErrStoreNotFound.
func (c *Client) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	answer, err := c.read(ctx, dotterwire.PathGet, dotterwire.StoreCall{Key: key})
	if err != nil {
		return dotterkey.Entry{}, err
	}
	if len(answer.Entries) != 1 {
		return dotterkey.Entry{}, eris.Wrap(dotterelusher.ErrStoreUnavailable, "the answer holds no entry")
	}
	return answer.Entries[0], nil
}

// List returns the entries whose keys start with prefix, and the store's revision.
func (c *Client) List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	answer, err := c.read(ctx, dotterwire.PathList, dotterwire.StoreCall{Prefix: prefix})
	return answer.Entries, answer.Revision, err
}

// Put writes value under key if the key is at version expect; see dotterelusher.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error) {
	call := dotterwire.StoreCall{Key: key, Value: value, Expect: expect, Lease: lease}
	answer, err := c.write(ctx, dotterwire.PathPut, call)
	return answer.Version, err
}

// Delete removes key if it is at version expect, or returns ErrStoreConflict.
func (c *Client) Delete(ctx context.Context, key string, expect dotterkey.Version) error {
	_, err := c.write(ctx, dotterwire.PathDelete, dotterwire.StoreCall{Key: key, Expect: expect})
	return err
}

// Watch waits for changes under prefix after the revision; see dotterelusher.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error) {
	if err := c.admit(ctx, c.reads); err != nil {
		return dotterkey.Changes{}, err
	}
	call := dotterwire.StoreCall{Prefix: prefix, After: after}
	answer, err := c.exchange(ctx, dotterwire.PathWatch, call, c.limits.WatchTimeout)
	if err != nil {
		return dotterkey.Changes{}, storeError(err, dotterelusher.ErrStoreUnavailable)
	}
	return dotterkey.Changes{Revision: answer.Revision, Entries: answer.Entries, Deleted: answer.Deleted}, nil
}

// Grant creates a lease that expires unless it is renewed within ttl.
func (c *Client) Grant(ctx context.Context, ttl dotterclock.Millis) (dotterkey.LeaseID, error) {
	answer, err := c.write(ctx, dotterwire.PathGrant, dotterwire.StoreCall{Span: ttl})
	return answer.Lease, err
}

// Renew extends the lease by its full TTL, or returns ErrStoreLeaseExpired.
func (c *Client) Renew(ctx context.Context, lease dotterkey.LeaseID) error {
	_, err := c.write(ctx, dotterwire.PathRenew, dotterwire.StoreCall{Lease: lease})
	return err
}

// Revoke ends the lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease dotterkey.LeaseID) error {
	_, err := c.write(ctx, dotterwire.PathRevoke, dotterwire.StoreCall{Lease: lease})
	return err
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func (c *Client) read(ctx context.Context, path string, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	if err := c.admit(ctx, c.reads); err != nil {
		return dotterwire.StoreAnswer{}, err
	}
	answer, err := c.exchange(ctx, path, call, c.limits.Timeout)
	return answer, storeError(err, dotterelusher.ErrStoreUnavailable)
}

func (c *Client) write(ctx context.Context, path string, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	if err := c.admit(ctx, c.writes); err != nil {
		return dotterwire.StoreAnswer{}, err
	}
	answer, err := c.exchange(ctx, path, call, c.limits.Timeout)
	return answer, storeError(err, dotterelusher.ErrStoreIndeterminate)
}

// admit returns an error if the circuit breaker is open; otherwise it waits for a token
// of the bucket, for at most the timeout of a call.
func (c *Client) admit(ctx context.Context, bucket *rate.Limiter) error {
	if !c.breaker.allow() {
		return eris.Wrap(dotterelusher.ErrStoreUnavailable, "the circuit breaker is open")
	}
	bounded, cancel := context.WithTimeout(ctx, c.limits.Timeout.Duration())
	defer cancel()
	if err := bucket.Wait(bounded); err != nil {
		return rateLimited(err.Error())
	}
	return nil
}

func rateLimited(reason string) error {
	return fmt.Errorf("%w: %w: %s", dotterelusher.ErrStoreUnavailable, dotterelusher.ErrStoreRateLimited, reason)
}

func (c *Client) exchange(ctx context.Context, path string, call dotterwire.StoreCall, timeout dotterclock.Millis) (dotterwire.StoreAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var answer dotterwire.StoreAnswer
	err := dotterwire.Call(bounded, c.http, "http://"+c.address+path, c.caller, call, &answer)
	if ctx.Err() == nil {
		c.breaker.record(answered(err))
	}
	return answer, err
}

// answered reports whether the store answered a call, where err is the result of the
// call. A server error doesn't count as an answer.
func answered(err error) bool {
	var status *dotterwire.StatusError
	if errors.As(err, &status) {
		return status.Status < http.StatusInternalServerError
	}
	return err == nil
}

// storeError converts an error of dotterwire into an error of dotterelusher.Store. It
// returns ambiguous for a call that may have reached the store.
func storeError(err, ambiguous error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, dotterwire.ErrNotSent) {
		return eris.Wrap(dotterelusher.ErrStoreUnavailable, err.Error())
	}
	var status *dotterwire.StatusError
	if !errors.As(err, &status) {
		return eris.Wrap(ambiguous, err.Error())
	}
	switch {
	case status.Status == http.StatusNotFound:
		return dotterelusher.ErrStoreNotFound
	case status.Status == http.StatusConflict:
		return dotterelusher.ErrStoreConflict
	case status.Status == http.StatusGone:
		return dotterelusher.ErrStoreLeaseExpired
	case status.NotRun:
		return eris.Wrap(dotterelusher.ErrStoreUnavailable, err.Error())
	}
	return eris.Wrap(ambiguous, err.Error())
}
