package dotterdaemon

import (
	"context"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// taskService is the task side as the daemon drives it.
type taskService interface {
	dotterelusher.Tasks
	Start()
	Stop(ctx context.Context) error
	Usage(ctx context.Context) (dottermessage.UsageAnswer, error)
}

// noTasks refuses every task.
type noTasks struct{}

var _ taskService = noTasks{}

func (noTasks) Submit(context.Context, []dottersubmission.Submission) ([]dottertask.Task, error) {
	return nil, dotterelusher.ErrTaskRefused
}

func (noTasks) Get(context.Context, dottertask.ID) (dottertask.Task, error) {
	return dottertask.Task{}, dotterelusher.ErrTaskNotFound
}

func (noTasks) Cancel(context.Context, []dottertask.ID) (int, error) { return 0, nil }
func (noTasks) Shards() []dotterelusher.ShardStatus                  { return nil }
func (noTasks) RetryAfter() dotterclock.Millis                       { return dotterclock.Second }
func (noTasks) Start()                                               {}
func (noTasks) Stop(context.Context) error                           { return nil }
func (noTasks) Usage(context.Context) (dottermessage.UsageAnswer, error) {
	return dottermessage.UsageAnswer{}, nil
}

func (d *Daemon) newTasks() (taskService, error) {
	return noTasks{}, nil
}
