package dotterboard

import (
	"encoding/json"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Batch is a set of changes to the shard's stored state, to be stored together.
type Batch struct {
	Records    map[dotterjob.ID][]byte       // progress records of jobs, JSON
	Parts      []PartChange                  // of the progress of divided jobs
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
	bytes   int // size of records and parts
	taken   []*taken
	starts  []*bindingStart
	ends    []*end
	finals  []*job
	left    []*job
}

// taken is what a batch has taken from a job.
type taken struct {
	job      *job
	changes  changes // of its record and its parts
	incoming []string
	outgoing []*Transfer
	orphans  []PartKey // that the job leaves behind
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
	// maxBatchBytes bounds the size of a batch beyond its first job: hosts with narrow links have to
	// send it well within the timeout of a call to the store.
	maxBatchBytes = 256 << 10
)

// Empty reports whether there is nothing to write.
func (batch *Batch) Empty() bool {
	return batch.entries == 0
}

// urgent reports whether pending changes of the job hold back a start order, an outcome
// or tasks handed over.
func (j *job) urgent() bool {
	if len(j.starts) > 0 || j.outcome != "" && j.storedOutcome == "" || len(j.outgoing) > 0 {
		return true
	}
	for _, p := range j.parts {
		if len(p.starts) > 0 {
			return true
		}
	}
	return false
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
	b.addDirty(batch, limit, (*job).urgent)
	b.addDirty(batch, limit, func(j *job) bool { return !j.urgent() })
	for len(b.dropped) > 0 && batch.entries+shardKeys <= limit {
		batch.Dropped, b.dropped = append(batch.Dropped, b.dropped[0]), b.dropped[1:]
		batch.entries += shardKeys
	}
	for len(b.expired) > 0 && batch.entries+expiredKeys <= limit {
		batch.Expired, b.expired = append(batch.Expired, b.expired[0]), b.expired[1:]
		batch.entries += expiredKeys
	}
	for len(b.orphans) > 0 && batch.entries < limit {
		batch.Parts, b.orphans = append(batch.Parts, PartChange{PartKey: b.orphans[0]}), b.orphans[1:]
		batch.entries++
	}
	return batch, nil
}

// addDirty adds the pending changes of the chosen jobs to the batch, as far as they fit.
func (b *Board) addDirty(batch *Batch, limit int, chosen func(*job) bool) {
	var rest []*job
	for _, j := range slices.Clone(b.dirty) { // excluding a job changes it
		if !chosen(j) || !j.fits(batch, limit) {
			rest = append(rest, j)
			continue
		}
		var err error
		b.contain(j.ID, func() { err = b.addTo(batch, j, limit) })
		if err != nil {
			b.exclude(j.ID, err)
		}
		if j.dirty && !b.excluded[j.ID] {
			rest = append(rest, j)
		}
	}
	b.dirty = rest
}

// fits reports whether the batch has room for the least that is stored of the job at once.
func (j *job) fits(batch *Batch, limit int) bool {
	return batch.entries == 0 || batch.entries+j.entries() <= limit && batch.bytes < maxBatchBytes
}

// needsRecord reports whether pending changes need the job's record.
func (j *job) needsRecord() bool {
	return j.recordDirty || !j.stored || j.leaving || len(j.outgoing) > 0 || len(j.incoming) > 0 || j.outcome != "" && j.storedOutcome == ""
}

// entries returns the number of keys that the least of the job's pending changes needs that is
// stored at once, at most.
func (j *job) entries() int {
	if !j.needsRecord() {
		return min(2, len(j.parts)) // one part, and the record if that has kept it
	}
	n := 1 + j.numberIncoming() + len(j.boundParts())
	for _, t := range j.outgoing[:j.numberOutgoing()] {
		n++
		if t.Home {
			n++
		}
	}
	if j.leaving || !j.stored {
		n++
	}
	if j.cancelsElsewhere() {
		n++
	}
	if j.canClose() {
		n++
	}
	return n
}

// numberIncoming returns how many applied transfers a batch deletes.
func (j *job) numberIncoming() int {
	if j.isDivided() {
		return min(1, len(j.incoming))
	}
	return min(maxIncoming, len(j.incoming))
}

// numberOutgoing returns how many transfers a batch has.
func (j *job) numberOutgoing() int {
	if j.isDivided() {
		return min(1, len(j.outgoing))
	}
	return len(j.outgoing)
}

// boundParts returns the numbers of the parts that are stored with the transfers of the next batch.
func (j *job) boundParts() []int {
	if !j.isDivided() || j.leaving || j.outcome != "" {
		return nil
	}
	var numbers []int
	for _, in := range j.incoming[:j.numberIncoming()] {
		numbers = append(numbers, in.parts...)
	}
	for _, out := range j.outgoing[:j.numberOutgoing()] {
		numbers = append(numbers, out.parts...)
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

// cancelsElsewhere reports whether the job has failed here and other shards do not know: its
// home, or those that have tasks of it, which have to stop.
func (j *job) cancelsElsewhere() bool {
	return j.outcome == dotterjob.Failed && j.storedOutcome == "" && (j.away > 0 || j.visiting) && !j.announced
}

// addTo moves the job's pending changes to the batch, as many parts as fit.
func (b *Board) addTo(batch *Batch, j *job, limit int) error {
	t := &taken{job: j}
	batch.taken = append(batch.taken, t)
	if j.leaving {
		return b.addLeaving(batch, j, t)
	}
	record := j.needsRecord()
	if record {
		batch.entries += j.entries()
	}
	bound := j.boundParts()
	for _, n := range bound {
		if err := b.addPart(batch, j, n, t); err != nil {
			return err
		}
	}
	for _, n := range j.dirtyParts() {
		if batch.entries+2 > limit || batch.bytes >= maxBatchBytes {
			break
		}
		if slices.Contains(bound, n) {
			continue
		}
		if j.kept[n] && !record {
			record = true
			batch.entries++
		}
		batch.entries++
		if err := b.addPart(batch, j, n, t); err != nil {
			return err
		}
	}
	if record {
		if err := b.addRecord(batch, j, t); err != nil {
			return err
		}
	}
	j.dirty = len(j.incoming) > 0 || len(j.outgoing) > 0 || len(j.dirtyParts()) > 0
	return nil
}

// addLeaving adds a job that leaves the shard to the batch.
func (b *Board) addLeaving(batch *Batch, j *job, t *taken) error {
	batch.entries += j.entries() + len(j.outgoing)
	batch.Dropped = append(batch.Dropped, j.ID)
	batch.left = append(batch.left, j)
	for n, p := range j.parts {
		if p.stored {
			t.orphans = append(t.orphans, PartKey{j.ID, n})
		}
		batch.addChanges(t, p.changes)
	}
	j.parts = nil
	b.takeTransfers(batch, j, t, len(j.outgoing))
	j.dirty = false
	return nil
}

// addPart adds a part of the job's progress to the batch. The part no longer is in the record.
func (b *Board) addPart(batch *Batch, j *job, number int, t *taken) error {
	p := j.part(number)
	value, err := b.newPartRecord(j, number)
	if err != nil {
		return err
	}
	if value != nil || p.stored {
		batch.Parts = append(batch.Parts, PartChange{PartKey: PartKey{j.ID, number}, Value: value})
		batch.bytes += len(value)
		b.largestValue = max(b.largestValue, len(value))
	}
	batch.addChanges(t, p.changes)
	p.changes, p.dirty = changes{}, false
	delete(j.kept, number)
	return nil
}

// addChanges adds what waits until the batch is stored.
func (batch *Batch) addChanges(t *taken, c changes) {
	t.changes.prepend(c)
	for _, t := range c.starts {
		batch.starts = append(batch.starts, &bindingStart{task: t, run: t.run})
	}
	batch.ends = append(batch.ends, c.ends...)
}

// addRecord adds the job's record to the batch, and what is stored with it.
func (b *Board) addRecord(batch *Batch, j *job, t *taken) error {
	record, err := json.Marshal(b.newRecord(j))
	if err != nil {
		return err
	}
	batch.Records[j.ID] = record
	batch.bytes += len(record)
	b.largestValue = max(b.largestValue, len(record))
	switch {
	case j.closed:
	case j.canClose():
		// Successors need only the outcome, which callers ask for. The bodies of all jobs of
		// the last minutes would take a new owner a second or more to load.
		batch.Closed = append(batch.Closed, j.ID)
		j.stored, j.closed = true, true
		j.deleteParts()
	case !j.stored:
		batch.Jobs = append(batch.Jobs, j.Job)
		j.stored = true
	}
	if j.outcome != "" && j.storedOutcome == "" {
		batch.finals = append(batch.finals, j)
	}
	if j.cancelsElsewhere() {
		batch.Cancelled[j.ID] = Cancellation{Failed: j.reason}
	}
	b.takeTransfers(batch, j, t, j.numberOutgoing())
	j.recordDirty = false
	return nil
}

// takeTransfers moves transfers, and what waits for the job's record, to the batch.
func (b *Board) takeTransfers(batch *Batch, j *job, t *taken, outgoing int) {
	n := j.numberIncoming()
	for _, in := range j.incoming[:n] {
		t.incoming = append(t.incoming, in.key)
	}
	t.outgoing = append(t.outgoing, j.outgoing[:outgoing]...)
	batch.Absorbed, batch.Transfers = append(batch.Absorbed, t.incoming...), append(batch.Transfers, t.outgoing...)
	batch.addChanges(t, j.changes)
	j.incoming, j.outgoing, j.changes = j.incoming[n:], j.outgoing[outgoing:], changes{}
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
	for _, c := range batch.Parts {
		if j, ok := b.jobs[c.Job]; ok {
			j.handleStored(c)
		}
	}
	for _, t := range batch.taken {
		b.orphans = append(b.orphans, t.orphans...)
		if j, ok := b.jobs[t.job.ID]; ok && j != t.job { // it has come back already, and its parts have the same keys
			b.adoptOrphans(j)
		}
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
