package dotterrecord

import "github.com/dotterelusher/dotterelusher/internal/model/dottertask"

// Record is one record of a shard's log; exactly one field is set.
type Record struct {
	Accepted  *Entry     `json:",omitempty"` // a task that the shard accepts
	Kept      *Entry     `json:",omitempty"` // an entry written again before its segment is overwritten
	Total     *Total     `json:",omitempty"`
	Reserved  *Reserved  `json:",omitempty"`
	Ended     *Ended     `json:",omitempty"`
	Cancelled *Cancelled `json:",omitempty"`
	Offered   *Offered   `json:",omitempty"`
	Moved     *Moved     `json:",omitempty"`
}

// Tasks returns the IDs of the tasks that r changes.
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

// Bytes returns an upper bound on the encoded size of r in a segment. Names of tasks,
// workers and shards count with their usual lengths.
func (r Record) Bytes() int {
	switch {
	case r.Accepted != nil:
		return r.Accepted.Bytes()
	case r.Kept != nil:
		return r.Kept.Bytes()
	case r.Ended != nil:
		return fixedChangeBytes + textBytes(r.Ended.Reason) + textBytes(r.Ended.Checkpoint)
	case r.Total != nil:
		return fixedTotalBytes + textBytes(r.Total.Team) + textBytes(r.Total.Partner) + textBytes(r.Total.Split)
	}
	return fixedChangeBytes + taskIDBytes*len(r.Tasks())
}

// Encoded sizes in a change record.
const (
	fixedChangeBytes = 240
	fixedTotalBytes  = 320
	taskIDBytes      = 28
)
