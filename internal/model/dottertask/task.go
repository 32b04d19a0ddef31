package dottertask

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// ID identifies a task. It starts with the name of the shard that accepted the task.
type ID string

// Task is an accepted unit of work.
type Task struct {
	ID          ID
	Team        string
	Template    string
	Key         string             `json:",omitempty"` // the caller's idempotency key
	Size        dotterroom.Room    // declared
	RunMillis   dotterclock.Millis // declared run time
	Payload     string             `json:",omitempty"` // passed to the worker unmodified
	Repeatable  bool               `json:",omitempty"`
	Urgent      bool               `json:",omitempty"`
	Critical    bool               `json:",omitempty"` // latency-critical
	Rank        int                `json:",omitempty"` // priority; lower goes first
	SubmittedAt dotterclock.Millis
	State       State
	Attempt     int                // number of the latest attempt; 0 before the first
	Worker      string             `json:",omitempty"` // worker of the latest attempt
	Checkpoint  string             `json:",omitempty"` // checkpoint from which the next attempt resumes
	Reason      string             `json:",omitempty"` // why the task failed or was moved
	EndedAt     dotterclock.Millis `json:",omitempty"`
}

// WithState returns a copy of t with the given state and reason.
func (t Task) WithState(state State, reason string) Task {
	t.State = state
	t.Reason = reason
	return t
}

// WithAttempt returns a copy of t in StateAssigned whose latest attempt has the given
// number and worker.
func (t Task) WithAttempt(number int, worker string) Task {
	t.Attempt = number
	t.Worker = worker
	t.State = StateAssigned
	return t
}

// WithCheckpoint returns a copy of t that resumes from checkpoint.
func (t Task) WithCheckpoint(checkpoint string) Task {
	t.Checkpoint = checkpoint
	return t
}

// WithEnd returns a copy of t that ended at endedAt in the given final state.
func (t Task) WithEnd(state State, reason string, endedAt dotterclock.Millis) Task {
	t = t.WithState(state, reason)
	t.EndedAt = endedAt
	return t
}
