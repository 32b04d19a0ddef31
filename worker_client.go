package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// Errors of a WorkerClient.
var (
	// ErrWorkerUnreachable means that no byte of the command reached the worker.
	ErrWorkerUnreachable = eris.New("worker: unreachable, the command was not sent")
	// ErrWorkerIndeterminate means that the command may have reached the worker.
	ErrWorkerIndeterminate = eris.New("worker: no answer, the command may have taken effect")
)

// WorkerClient talks to workers. The address is the worker's IP:port. A refusal
// is not an error: it is in the report, and the command took no effect.
type WorkerClient interface {
	// Start runs an attempt; repeating it for the same attempt changes nothing.
	Start(ctx context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error)

	// Renew renews leases, acknowledges ends, and returns the shard's attempts and usage.
	Renew(ctx context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error)

	// Checkpoint saves the attempt's progress and ends it as Checkpointed.
	Checkpoint(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error)

	// Throttle limits the attempt to order.Percent of its processor time.
	Throttle(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error)

	// Stop ends the attempt as Stopped.
	Stop(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error)

	// Inventory raises the worker's epoch of the shard and returns all its
	// attempts of that shard, ended ones that nobody acknowledged included.
	Inventory(ctx context.Context, address string, shard string, epoch int64) (dotterattempt.Report, error)
}
