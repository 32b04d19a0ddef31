package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Errors of Tasks.
var (
	ErrTaskNotFound      = eris.New("tasks: no such task")
	ErrTaskInvalid       = eris.New("tasks: the submission can't be accepted as it is")
	ErrTaskRefused       = eris.New("tasks: refused, nothing was accepted")
	ErrTaskIndeterminate = eris.New("tasks: no answer, the call may have taken effect")
)

// Tasks accepts tasks and tells what became of them, for the whole pool: a call
// for a task of another host's shard is passed on to that host.
type Tasks interface {
	// Submit accepts the submissions durably, all in one shard, and returns their tasks.
	// ErrTaskInvalid names the faulty one; ErrTaskRefused means that none was accepted.
	Submit(ctx context.Context, submissions []dottersubmission.Submission) ([]dottertask.Task, error)

	// Get returns the task called id, or ErrTaskNotFound.
	Get(ctx context.Context, id dottertask.ID) (dottertask.Task, error)

	// Cancel cancels the tasks and returns how many were not yet final.
	Cancel(ctx context.Context, ids []dottertask.ID) (int, error)

	// Shards returns a summary of the shards that this host owns.
	Shards() []ShardStatus

	// RetryAfter returns when a refused submission is worth repeating.
	RetryAfter() dotterclock.Millis
}

// ShardStatus summarises a shard for operators.
type ShardStatus struct {
	Shard   string
	Epoch   int64
	Owner   string
	Workers int
	Queued  int
	Running int
	Ended   int
}
