package dotterrecord

import "github.com/dotterelusher/dotterelusher/internal/model/dottertask"

// Record is one change of a shard; exactly one field is set.
type Record struct {
	Accepted  *Entry     `json:",omitempty"` // a task that the shard takes on
	Kept      *Entry     `json:",omitempty"` // an entry restated before the ring overwrites it
	Total     *Total     `json:",omitempty"`
	Reserved  *Reserved  `json:",omitempty"`
	Ended     *Ended     `json:",omitempty"`
	Cancelled *Cancelled `json:",omitempty"`
	Offered   *Offered   `json:",omitempty"`
	Moved     *Moved     `json:",omitempty"`
}

// Tasks returns the tasks that r changes.
func (r Record) Tasks() []dottertask.ID {
	switch {
	case r.Accepted != nil:
		return []dottertask.ID{r.Accepted.Task.ID}
	case r.Kept != nil:
		return []dottertask.ID{r.Kept.Task.ID}
	case r.Reserved != nil:
		return []dottertask.ID{r.Reserved.Task}
	case r.Ended != nil:
		return []dottertask.ID{r.Ended.Task}
	case r.Cancelled != nil:
		return r.Cancelled.Tasks
	case r.Offered != nil:
		return r.Offered.Tasks
	case r.Moved != nil:
		return r.Moved.Tasks
	}
	return nil
}

// Bytes returns about how many bytes r takes in a segment.
func (r Record) Bytes() int {
	switch {
	case r.Accepted != nil:
		return r.Accepted.Bytes()
	case r.Kept != nil:
		return r.Kept.Bytes()
	case r.Ended != nil:
		return changeBytes + len(r.Ended.Reason) + len(r.Ended.Checkpoint)
	}
	return changeBytes + taskNameBytes*len(r.Tasks())
}

const (
	changeBytes   = 150
	taskNameBytes = 24
)
