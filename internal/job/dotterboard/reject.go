package dotterboard

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Split returns batches that together have the changes of this one, in the order in which they
// must be stored: one of what belongs to no job, unless that is nothing, and one for each job.
func (batch *Batch) Split() []*Batch {
	rest := *batch
	rest.Records, rest.Jobs, rest.Transfers, rest.Closed, rest.Cancelled = nil, nil, nil, nil, nil
	rest.taken, rest.starts, rest.ends, rest.finals, rest.left = nil, nil, nil, nil, nil
	rest.Absorbed, rest.Dropped, rest.Parts = slices.Clone(batch.Absorbed), slices.Clone(batch.Dropped), slices.Clone(batch.Parts)
	var split []*Batch
	for _, t := range batch.taken {
		id := t.job.ID
		isOther := func(j *job) bool { return j != t.job }
		one := &Batch{
			Records: maps.Clone(batch.Records), Cancelled: maps.Clone(batch.Cancelled), Absorbed: t.incoming, Transfers: t.outgoing,
			taken: []*taken{t}, ends: t.changes.ends,
			finals: slices.DeleteFunc(slices.Clone(batch.finals), isOther), left: slices.DeleteFunc(slices.Clone(batch.left), isOther),
			Jobs:   slices.DeleteFunc(slices.Clone(batch.Jobs), func(j dotterjob.Job) bool { return j.ID != id }),
			Closed: slices.DeleteFunc(slices.Clone(batch.Closed), func(closed dotterjob.ID) bool { return closed != id }),
		}
		maps.DeleteFunc(one.Records, func(other dotterjob.ID, _ []byte) bool { return other != id })
		maps.DeleteFunc(one.Cancelled, func(other dotterjob.ID, _ Cancellation) bool { return other != id })
		for _, started := range t.changes.starts {
			one.starts = append(one.starts, &bindingStart{task: started, run: started.run})
		}
		if len(one.left) > 0 {
			one.Dropped = []dotterjob.ID{id}
			rest.Dropped = slices.DeleteFunc(rest.Dropped, func(dropped dotterjob.ID) bool { return dropped == id })
		}
		isOwn := func(c PartChange) bool { return c.Job == id }
		one.Parts = slices.DeleteFunc(slices.Clone(batch.Parts), func(c PartChange) bool { return !isOwn(c) })
		rest.Parts = slices.DeleteFunc(rest.Parts, isOwn)
		rest.Absorbed = slices.DeleteFunc(rest.Absorbed, func(key string) bool { return slices.Contains(t.incoming, key) })
		one.entries = 1
		split = append(split, one)
	}
	if rest.Allotments == nil && len(rest.Grants)+len(rest.Absorbed)+len(rest.Dropped)+len(rest.Expired)+len(rest.Parts) == 0 {
		return split
	}
	return append([]*Batch{&rest}, split...)
}

// HasJob reports whether the batch has changes of a job.
func (batch *Batch) HasJob() bool {
	return len(batch.taken) > 0
}

// HandleRejected fails the job of a batch that has only one, since its progress can never be
// stored. One that already has a final state is excluded.
func (b *Board) HandleRejected(now dotterclock.Millis, batch *Batch, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range batch.taken {
		j := t.job
		b.counters.Rejected++
		size := 0
		for _, c := range batch.Parts {
			size = max(size, len(c.Value))
		}
		b.logger.Error("progress rejected by the store", zap.String("Job", string(j.ID)), zap.Int("RecordBytes", len(batch.Records[j.ID])),
			zap.Int("Parts", len(batch.Parts)), zap.Int("LargestPartBytes", size), zap.Int("Transfers", len(t.outgoing)),
			zap.Bool("Fails", j.outcome == ""), zap.Error(cause))
		if j.outcome != "" {
			b.exclude(j.ID, cause)
			continue
		}
		j.changes.prepend(t.changes)
		j.leaving = false
		j.stored = j.stored && len(batch.Jobs) == 0
		for _, key := range t.incoming {
			j.incoming = append(j.incoming, incoming{key: key})
		}
		b.finish(now, j, dotterjob.Failed, "its progress cannot be stored: "+cause.Error())
	}
}
