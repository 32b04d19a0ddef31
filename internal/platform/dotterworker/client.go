package dotterworker

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
)

// DefaultTimeout is the timeout of each command unless another one is configured.
const DefaultTimeout = 1 * dotterclock.Second

var _ dotterelusher.WorkerClient = (*Client)(nil)

// Client sends commands to workers over HTTP.
type Client struct {
	caller  string
	timeout dotterclock.Millis
	http    *http.Client
}

// New returns a client that identifies itself as caller and applies timeout to each
// command.
func New(caller string, timeout dotterclock.Millis) *Client {
	return &Client{caller: caller, timeout: timeout, http: dotterwire.NewClient()}
}

// Start runs an attempt. It is idempotent for the same attempt.
func (c *Client) Start(ctx context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	return c.send(ctx, address, dotterwire.PathStart, start)
}

// Renew renews leases, acknowledges ended attempts, and returns the shard's attempts and usage.
func (c *Client) Renew(ctx context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error) {
	return c.send(ctx, address, dotterwire.PathRenewal, renewal)
}

// Checkpoint saves the attempt's progress and ends it in phase Checkpointed.
func (c *Client) Checkpoint(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return c.send(ctx, address, dotterwire.PathCheckpoint, order)
}

// Throttle limits the attempt to order.Percent of its processor time.
func (c *Client) Throttle(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return c.send(ctx, address, dotterwire.PathThrottle, order)
}

// Stop ends the attempt in phase Stopped.
func (c *Client) Stop(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return c.send(ctx, address, dotterwire.PathStop, order)
}

// Inventory raises the epoch that the worker holds for the shard and returns its
// attempts; see dotterelusher.WorkerClient.
func (c *Client) Inventory(ctx context.Context, address string, shard string, epoch int64) (dotterattempt.Report, error) {
	return c.send(ctx, address, dotterwire.PathInventory, dotterwire.InventoryCall{Shard: shard, Epoch: epoch})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func (c *Client) send(ctx context.Context, address, path string, command any) (dotterattempt.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	var report dotterattempt.Report
	err := dotterwire.Call(bounded, c.http, "http://"+address+path, c.caller, command, &report)
	return report, workerError(err)
}

// workerError converts an error of dotterwire into an error of dotterelusher.WorkerClient.
func workerError(err error) error {
	if err == nil {
		return nil
	}
	var status *dotterwire.StatusError
	notRun := errors.As(err, &status) && status.NotRun
	if notRun || errors.Is(err, dotterwire.ErrNotSent) {
		return eris.Wrap(dotterelusher.ErrWorkerUnreachable, err.Error())
	}
	return eris.Wrap(dotterelusher.ErrWorkerIndeterminate, err.Error())
}
