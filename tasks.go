package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Errors returned by Tasks.
var (
	ErrTaskNotFound      = eris.New("tasks: no such task")
	ErrTaskInvalid       = eris.New("tasks: the submission can't be accepted as it is")
	ErrTaskRefused       = eris.New("tasks: refused, nothing was accepted")
	ErrTaskIndeterminate = eris.New("tasks: no answer, the call may have taken effect")
)

// Tasks accepts, reports on and cancels tasks of the whole pool. It forwards a call
// for a task of a shard that another host owns to that host.
type Tasks interface {
	// Submit durably accepts the submissions, all in one shard, and returns their tasks.
	// ErrTaskInvalid names the invalid submission; ErrTaskRefused means that none was accepted.
	Submit(ctx context.Context, submissions []dottersubmission.Submission) ([]dottertask.Task, error)

	// Get returns the task with the given id, or ErrTaskNotFound.
	Get(ctx context.Context, id dottertask.ID) (dottertask.Task, error)

	// Cancel cancels the tasks and returns how many of them were not in a final state.
	Cancel(ctx context.Context, ids []dottertask.ID) (int, error)

	// Shards returns a summary of each shard that this host owns.
	Shards() []ShardStatus

	// RetryAfter returns how long a caller should wait before it repeats a refused submission.
	RetryAfter() dotterclock.Millis
}

// ShardStatus is a summary of a shard for operators.
type ShardStatus struct {
	Shard   string
	Epoch   int64
	Owner   string
	Workers int
	Queued  int
	Running int
	Ended   int
}
