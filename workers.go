package dotterelusher

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// RunClient sends the orders of a shard's owner to workers. Its errors are
// ErrWorkerUnreachable and ErrWorkerIndeterminate, either of them perhaps with ErrWorkerClosed. An order that got no answer may
// still be executed later, even after newer orders. A refusal is not an error.
type RunClient interface {
	// Start starts a run. It is idempotent for the same run.
	Start(ctx context.Context, worker dotterworker.Worker, start dotterrun.Start) (dotterrun.Answer, error)

	// Stop ends a run. If the run has not started, the worker refuses to start it from then on.
	Stop(ctx context.Context, worker dotterworker.Worker, order dotterrun.Order) (dotterrun.Answer, error)

	// Pace limits a run to order.Percent of its full rate of work.
	Pace(ctx context.Context, worker dotterworker.Worker, order dotterrun.Order) (dotterrun.Answer, error)

	// Renew renews the worker's lease and returns the listing of its runs.
	Renew(ctx context.Context, worker dotterworker.Worker, renewal dotterrun.Renewal) (dotterrun.Listing, error)
}

// Admission asks a queue's admission policy which workers may run a step.
type Admission interface {
	// Advise returns an admission ticket for each of the given workers that may run
	// the step. Its errors are ErrWorkerUnreachable and ErrWorkerIndeterminate.
	Advise(ctx context.Context, step dotterrun.StepRef, workers []string) (dotterrun.Advice, error)
}
