package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// Errors returned by a WorkerClient and a RunClient.
var (
	// ErrWorkerUnreachable means that the command was not executed: it was not sent, or
	// the answer says that it took no effect.
	ErrWorkerUnreachable = eris.New("worker: unreachable, the command was not sent")
	// ErrWorkerIndeterminate means that the command may have reached the worker.
	ErrWorkerIndeterminate = eris.New("worker: no answer, the command may have taken effect")
	// ErrWorkerClosed means that the worker's host closed the connection or refused one,
	// as it does once the worker's process has ended. An error that wraps it also wraps one
	// of the others.
	ErrWorkerClosed = eris.New("worker: the connection was closed or refused")
)

// WorkerClient sends commands to workers. The address is the worker's IP:port. A
// refusal is not an error: the report carries it, and the command had no effect.
type WorkerClient interface {
	// Start runs an attempt. It is idempotent for the same attempt.
	Start(ctx context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error)

	// Renew renews leases, acknowledges ended attempts, and returns the shard's attempts and usage.
	Renew(ctx context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error)

	// Checkpoint saves the attempt's progress and ends it in phase Checkpointed.
	Checkpoint(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error)

	// Throttle limits the attempt to order.Percent of its processor time.
	Throttle(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error)

	// Stop ends the attempt in phase Stopped.
	Stop(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error)

	// Inventory raises the epoch that the worker holds for the shard and returns
	// all its attempts of that shard, including ended ones not yet acknowledged.
	Inventory(ctx context.Context, address string, shard string, epoch int64) (dotterattempt.Report, error)
}
