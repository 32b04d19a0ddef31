package dotterboard

import (
	"encoding/json"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Batch is a set of changes to the shard's stored state.
type Batch struct {
	Records map[dotterjob.ID][]byte // progress records of jobs, JSON
	Expired []dotterjob.ID          // jobs whose keys are deleted

	starts []*bindingStart
	ends   []*end
	finals []*job
}

// bindingStart is a binding whose start order is issued once the batch is stored.
type bindingStart struct {
	task *task
	run  int
}

// Empty reports whether there is nothing to write.
func (batch *Batch) Empty() bool {
	return len(batch.Records) == 0 && len(batch.Expired) == 0
}

// Urgent reports whether pending changes hold back a start order or an outcome.
func (b *Board) Urgent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.dirty {
		if len(j.starts) > 0 || (j.outcome != "" && j.storedOutcome == "") {
			return true
		}
	}
	return false
}

// Batch removes and returns pending changes that need at most limit store keys, urgent
// ones first.
func (b *Board) Batch(limit int) (*Batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := &Batch{Records: map[dotterjob.ID][]byte{}}
	var rest []*job
	for _, urgent := range []bool{true, false} {
		rest = nil
		for _, j := range b.dirty {
			isUrgent := len(j.starts) > 0 || (j.outcome != "" && j.storedOutcome == "")
			if len(batch.Records) >= limit || isUrgent != urgent {
				rest = append(rest, j)
				continue
			}
			if err := batch.add(j); err != nil {
				return nil, err
			}
		}
		b.dirty = rest
	}
	for len(b.expired) > 0 && len(batch.Records)+expiredKeys*(len(batch.Expired)+1) <= limit {
		batch.Expired = append(batch.Expired, b.expired[0])
		b.expired = b.expired[1:]
	}
	return batch, nil
}

// expiredKeys is the number of keys that are stored for each job.
const expiredKeys = 3

func (batch *Batch) add(j *job) error {
	record, err := json.Marshal(newRecord(j))
	if err != nil {
		return err
	}
	batch.Records[j.ID] = record
	for _, t := range j.starts {
		batch.starts = append(batch.starts, &bindingStart{task: t, run: t.run})
	}
	batch.ends = append(batch.ends, j.ends...)
	if j.outcome != "" && j.storedOutcome == "" {
		batch.finals = append(batch.finals, j)
	}
	j.dirty, j.starts, j.ends = false, nil, nil
	return nil
}

// HandleCommitted records that the batch is stored: it issues the start orders of the
// batch, lets its ends be acknowledged and makes its outcomes visible.
func (b *Board) HandleCommitted(batch *Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range batch.starts {
		if t := s.task; t.phase == bound && t.run == s.run {
			t.phase = ordered
			t.worker.send(&Order{kind: orderStart, task: t, ref: t.ref()})
		}
	}
	for _, e := range batch.ends {
		e.stored = true
		if e.worker.StartedAt == e.workerStartedAt {
			e.worker.advanceAck()
		}
	}
	for _, j := range batch.finals {
		j.storedOutcome = j.outcome
	}
	b.notify()
}
