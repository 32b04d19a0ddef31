package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Entry is the state of one task in a shard's log.
type Entry struct {
	Task        dottertask.Task
	Held        dotterroom.Room `json:",omitzero"`  // resources reserved for the newest attempt
	Incarnation int64           `json:",omitempty"` // of the newest attempt's worker at the time of the reservation
	Failures    int             `json:",omitempty"` // attempts that failed
	Crashes     int             `json:",omitempty"` // processes of workers that ended under the last attempts as these started
	Cancelling  bool            `json:",omitempty"` // cancelled while an attempt was bound
	Target      string          `json:",omitempty"` // shard that the task was offered or moved to
	Hops        int             `json:",omitempty"` // moves between shards so far
}

// Bound reports whether e has an attempt whose end is not logged.
func (e Entry) Bound() bool {
	return e.Task.State == dottertask.StateAssigned
}

// Queued reports whether e waits for an attempt and is not offered to another shard.
func (e Entry) Queued() bool {
	return e.Task.State == dottertask.StateQueued && e.Target == ""
}

// Closed reports whether the task has ended or moved to another shard.
func (e Entry) Closed() bool {
	return e.Task.State.Final() || e.Task.State == dottertask.StateMoved
}

// WithTask returns a copy of e with its task replaced.
func (e Entry) WithTask(task dottertask.Task) Entry {
	e.Task = task
	return e
}

// WithHop returns a copy of e with one more move between shards counted.
func (e Entry) WithHop() Entry {
	e.Hops++
	return e
}

// WithTarget returns a copy of e that is offered to the shard target; an empty
// target withdraws the offer.
func (e Entry) WithTarget(target string) Entry {
	e.Target = target
	return e
}

// WithAttempt returns a copy of e bound to the attempt that r reserves.
func (e Entry) WithAttempt(r Reserved) Entry {
	e.Task = e.Task.WithAttempt(r.Attempt, r.Worker)
	e.Held = r.Size
	e.Incarnation = r.Incarnation
	return e
}

// WithoutPayload returns a copy of e without the task's payload, which is needed
// only to start an attempt.
func (e Entry) WithoutPayload() Entry {
	e.Task.Payload = ""
	return e
}

// Bytes returns the approximate encoded size of a full record of e. Texts count
// with an upper bound on their escaped length.
func (e Entry) Bytes() int {
	t := e.Task
	sum := fixedEntryBytes
	for _, text := range []string{t.Payload, t.Checkpoint, t.Reason, t.Key, t.Team, t.Template} {
		sum += textBytes(text)
	}
	return sum
}

// fixedEntryBytes is the size of an entry without the texts that Bytes adds.
const fixedEntryBytes = 320
