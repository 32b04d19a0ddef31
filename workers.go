package dotterelusher

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// RunClient gives the orders of a shard's owner to workers. Its errors are
// ErrWorkerUnreachable and ErrWorkerIndeterminate; an order without an answer may
// be carried out later, also after newer ones. A refusal is not an error.
type RunClient interface {
	// Start begins a run; repeating it for the same run changes nothing.
	Start(ctx context.Context, worker dotterworker.Worker, start dotterrun.Start) (dotterrun.Answer, error)

	// Stop ends a run. A run that has not begun is refused from then on.
	Stop(ctx context.Context, worker dotterworker.Worker, order dotterrun.Order) (dotterrun.Answer, error)

	// Pace lets a run do order.Percent of its work.
	Pace(ctx context.Context, worker dotterworker.Worker, order dotterrun.Order) (dotterrun.Answer, error)

	// Renew renews the lease and returns the worker's listing.
	Renew(ctx context.Context, worker dotterworker.Worker, renewal dotterrun.Renewal) (dotterrun.Listing, error)
}

// Admission knows which workers a queue's policy allows to run a step.
type Admission interface {
	// Advise returns tickets for those of the workers that may run the step; its
	// errors are ErrWorkerUnreachable and ErrWorkerIndeterminate.
	Advise(ctx context.Context, step dotterrun.StepRef, workers []string) (dotterrun.Advice, error)
}
