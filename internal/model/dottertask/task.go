package dottertask

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// ID names a task; it starts with the name of the shard that accepted it.
type ID string

// Task is an accepted unit of work.
type Task struct {
	ID          ID
	Team        string
	Template    string
	Key         string             `json:",omitempty"` // the caller's idempotency key
	Size        dotterroom.Room    // declared
	RunMillis   dotterclock.Millis // declared run time
	Payload     string             `json:",omitempty"` // handed to the worker as it is
	Repeatable  bool               `json:",omitempty"`
	Urgent      bool               `json:",omitempty"`
	Critical    bool               `json:",omitempty"` // latency-critical
	Rank        int                `json:",omitempty"` // lower goes first
	SubmittedAt dotterclock.Millis
	State       State
	Attempt     int                // number of the newest attempt; 0 before the first
	Worker      string             `json:",omitempty"` // worker of the newest attempt
	Checkpoint  string             `json:",omitempty"` // where the next attempt resumes
	Reason      string             `json:",omitempty"` // why it failed or moved
	EndedAt     dotterclock.Millis `json:",omitempty"`
}

// WithState returns a copy of t in state, with the reason for it.
func (t Task) WithState(state State, reason string) Task {
	t.State = state
	t.Reason = reason
	return t
}

// WithAttempt returns a copy of t whose newest attempt is number on worker.
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

// WithEnd returns a copy of t that ended at instant in the final state.
func (t Task) WithEnd(state State, reason string, instant dotterclock.Millis) Task {
	t = t.WithState(state, reason)
	t.EndedAt = instant
	return t
}
