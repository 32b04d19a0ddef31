package dotterboard

import (
	"encoding/json"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Batch is a set of changes to the shard's stored state, to be stored together.
type Batch struct {
	Records    map[dotterjob.ID][]byte       // progress records of jobs, JSON
	Jobs       []dotterjob.Job               // jobs to store under this shard
	Transfers  []*Transfer                   // tasks handed over to other shards
	Absorbed   []string                      // keys of transfers and grants to this shard that are deleted
	Dropped    []dotterjob.ID                // jobs whose keys under this shard are deleted
	Expired    []dotterjob.ID                // jobs of which all keys are deleted
	Closed     []dotterjob.ID                // jobs of which only the record is kept
	Cancelled  map[dotterjob.ID]Cancellation // jobs to end in the other shards that have tasks of them
	Allotments []byte                        // the shard's parts of tenants' caps, JSON; nil: unchanged
	Grants     []*Grant                      // parts given to other shards

	entries int // number of keys that are written or deleted
	starts  []*bindingStart
	ends    []*end
	finals  []*job
	left    []*job
}

// bindingStart is a binding whose start order is issued once the batch is stored.
type bindingStart struct {
	task *task
	run  int
}

// Numbers of keys that a job has in the store.
const (
	shardKeys   = 2 // under each shard that has tasks of it: the job and its progress
	expiredKeys = 4 // in all: in addition its home and its cancellation
	// maxIncoming bounds the transfers of one job that a batch applies.
	maxIncoming = 8
)

// Empty reports whether there is nothing to write.
func (batch *Batch) Empty() bool {
	return batch.entries == 0
}

// urgent reports whether pending changes of the job hold back a start order, an outcome
// or tasks handed over.
func (j *job) urgent() bool {
	return len(j.starts) > 0 || (j.outcome != "" && j.storedOutcome == "") || len(j.outgoing) > 0
}

// Urgent reports whether pending changes hold back a start order, an outcome or tasks
// handed over.
func (b *Board) Urgent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.dirty {
		if j.urgent() {
			return true
		}
	}
	return false
}

// Batch removes and returns pending changes that need at most limit store keys, urgent
// ones first. The limit must be at least what one job can need.
func (b *Board) Batch(limit int) (*Batch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := &Batch{Records: map[dotterjob.ID][]byte{}, Cancelled: map[dotterjob.ID]Cancellation{}}
	if err := b.addAllotments(batch, limit); err != nil {
		return nil, err
	}
	var rest []*job
	for _, urgent := range []bool{true, false} {
		rest = nil
		for _, j := range b.dirty {
			if j.urgent() != urgent || batch.entries+j.entries() > limit {
				rest = append(rest, j)
				continue
			}
			var err error
			b.contain(j.ID, func() { err = b.addTo(batch, j) })
			if err != nil {
				b.exclude(j.ID, err)
			}
			if j.dirty && !b.excluded[j.ID] {
				rest = append(rest, j)
			}
		}
		b.dirty = rest
	}
	for len(b.dropped) > 0 && batch.entries+shardKeys <= limit {
		batch.Dropped, b.dropped = append(batch.Dropped, b.dropped[0]), b.dropped[1:]
		batch.entries += shardKeys
	}
	for len(b.expired) > 0 && batch.entries+expiredKeys <= limit {
		batch.Expired, b.expired = append(batch.Expired, b.expired[0]), b.expired[1:]
		batch.entries += expiredKeys
	}
	return batch, nil
}

// entries returns the number of keys that the job's pending changes need, at most.
func (j *job) entries() int {
	n := 1 + min(maxIncoming, len(j.incoming)) + len(j.outgoing)
	if j.leaving || !j.stored {
		n++
	}
	if j.cancelsElsewhere() {
		n++
	}
	if j.canClose() {
		n++
	}
	for _, t := range j.outgoing {
		if t.Home {
			n++
		}
	}
	return n
}

// cancelsElsewhere reports whether the job has failed here and other shards do not know: its
// home, or those that have tasks of it, which have to stop.
func (j *job) cancelsElsewhere() bool {
	return j.outcome == dotterjob.Failed && j.storedOutcome == "" && (j.away > 0 || j.visiting) && !j.announced
}

// addTo moves the job's pending changes to the batch.
func (b *Board) addTo(batch *Batch, j *job) error {
	batch.entries += j.entries()
	if j.leaving {
		batch.Dropped = append(batch.Dropped, j.ID)
		batch.left = append(batch.left, j)
	} else {
		record, err := json.Marshal(b.newRecord(j))
		if err != nil {
			return err
		}
		batch.Records[j.ID] = record
		switch {
		case j.closed:
		case j.canClose():
			// Successors need only the outcome, which callers ask for. The bodies of all jobs of
			// the last minutes would take a new owner a second or more to load.
			batch.Closed = append(batch.Closed, j.ID)
			j.stored, j.closed = true, true
		case !j.stored:
			batch.Jobs = append(batch.Jobs, j.Job)
			j.stored = true
		}
	}
	n := min(maxIncoming, len(j.incoming))
	batch.Absorbed = append(batch.Absorbed, j.incoming[:n]...)
	batch.Transfers = append(batch.Transfers, j.outgoing...)
	for _, t := range j.starts {
		batch.starts = append(batch.starts, &bindingStart{task: t, run: t.run})
	}
	batch.ends = append(batch.ends, j.ends...)
	if j.outcome != "" && j.storedOutcome == "" {
		batch.finals = append(batch.finals, j)
	}
	if j.cancelsElsewhere() {
		batch.Cancelled[j.ID] = Cancellation{Failed: j.reason}
	}
	j.incoming, j.outgoing, j.starts, j.ends = j.incoming[n:], nil, nil, nil
	j.dirty = len(j.incoming) > 0
	return nil
}

// HandleCommitted records that the batch is stored: it issues the start orders of the
// batch, lets its ends be acknowledged, makes its outcomes visible and forgets the jobs
// that were handed over.
func (b *Board) HandleCommitted(now dotterclock.Millis, batch *Batch) {
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
	for _, key := range batch.Absorbed {
		b.absorbed[key] = now
	}
	for _, j := range batch.finals {
		j.storedOutcome = j.outcome
	}
	for _, j := range batch.left {
		if b.jobs[j.ID] == j { // otherwise it has come back already
			b.depart(now, j)
		}
	}
	b.notify()
}
