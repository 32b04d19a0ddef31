package dotterboard

import (
	"encoding/json"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Batch is a change of the shard's state for the store.
type Batch struct {
	Records map[dotterjob.ID][]byte // progress of jobs
	Expired []dotterjob.ID          // jobs of which nothing is kept any more

	starts []*bindingStart
	ends   []*end
	finals []*job
}

// bindingStart is a binding as it is written in a batch.
type bindingStart struct {
	task *task
	run  int
}

// Empty reports whether there is nothing to write.
func (n *Batch) Empty() bool {
	return len(n.Records) == 0 && len(n.Expired) == 0
}

// Urgent reports whether a batch would release a start or show an outcome.
func (b *Board) Urgent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.dirty {
		if len(j.starts) > 0 || (j.outcome != "" && j.shown == "") {
			return true
		}
	}
	return false
}

// Batch returns the changes of at most limit jobs, urgent ones first.
func (b *Board) Batch(limit int) (*Batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &Batch{Records: map[dotterjob.ID][]byte{}}
	var rest []*job
	for _, urgent := range []bool{true, false} {
		rest = nil
		for _, j := range b.dirty {
			isUrgent := len(j.starts) > 0 || (j.outcome != "" && j.shown == "")
			if len(n.Records) >= limit || isUrgent != urgent {
				rest = append(rest, j)
				continue
			}
			if err := n.add(j); err != nil {
				return nil, err
			}
		}
		b.dirty = rest
	}
	for len(b.expired) > 0 && len(n.Records)+expiredKeys*(len(n.Expired)+1) <= limit {
		n.Expired = append(n.Expired, b.expired[0])
		b.expired = b.expired[1:]
	}
	return n, nil
}

// expiredKeys is the number of keys that the store holds of a job.
const expiredKeys = 3

func (n *Batch) add(j *job) error {
	record, err := json.Marshal(newRecord(j))
	if err != nil {
		return err
	}
	n.Records[j.ID] = record
	for _, t := range j.starts {
		n.starts = append(n.starts, &bindingStart{task: t, run: t.run})
	}
	n.ends = append(n.ends, j.ends...)
	if j.outcome != "" && j.shown == "" {
		n.finals = append(n.finals, j)
	}
	j.dirty, j.starts, j.ends = false, nil, nil
	return nil
}

// HandleCommitted takes in that the store has the batch: its starts are ordered, its
// ends acknowledged, its outcomes shown.
func (b *Board) HandleCommitted(n *Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range n.starts {
		if t := s.task; t.phase == bound && t.run == s.run {
			t.phase = ordered
			t.worker.send(&Order{kind: orderStart, task: t, ref: t.ref()})
		}
	}
	for _, e := range n.ends {
		e.saved = true
		if e.worker.Born == e.born {
			e.worker.save()
		}
	}
	for _, j := range n.finals {
		j.shown = j.outcome
	}
	b.notify()
}
