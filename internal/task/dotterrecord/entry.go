package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Entry is all that a shard's log says of one task.
type Entry struct {
	Task        dottertask.Task
	Held        dotterroom.Room `json:",omitzero"`  // room of the newest attempt
	Incarnation int64           `json:",omitempty"` // of the newest attempt's worker when it was reserved
	Failures    int             `json:",omitempty"` // attempts that failed
	Cancelling  bool            `json:",omitempty"` // cancelled while an attempt was bound
	Target      string          `json:",omitempty"` // shard that the task was offered or moved to
	Hops        int             `json:",omitempty"` // moves between shards so far
}

// Bound reports whether an attempt is logged whose end is not.
func (e Entry) Bound() bool {
	return e.Task.State == dottertask.StateAssigned
}

// Queued reports whether e waits for an attempt and is not on its way to another shard.
func (e Entry) Queued() bool {
	return e.Task.State == dottertask.StateQueued && e.Target == ""
}

// Closed reports whether e needs nothing more from its shard.
func (e Entry) Closed() bool {
	return e.Task.State.Final() || e.Task.State == dottertask.StateMoved
}

// WithTask returns a copy of e with task.
func (e Entry) WithTask(task dottertask.Task) Entry {
	e.Task = task
	return e
}

// WithHop returns a copy of e after one more move between shards.
func (e Entry) WithHop() Entry {
	e.Hops++
	return e
}

// WithTarget returns a copy of e on its way to the shard target; empty ends that.
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

// WithoutPayload returns a copy of e without what only a start needs.
func (e Entry) WithoutPayload() Entry {
	e.Task.Payload = ""
	return e
}

// Bytes returns about how many bytes it takes to state e.
func (e Entry) Bytes() int {
	t := e.Task
	sum := entryBytes
	for _, text := range []string{t.Payload, t.Checkpoint, t.Reason, t.Key, t.Team, t.Template} {
		sum += textBytes(text)
	}
	return sum
}

// entryBytes is what an entry takes without its texts.
const entryBytes = 320
