package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// change is a group of records that are committed in one segment.
type change struct {
	records   []dotterrecord.Record
	committed func()      // called after the commit; may be nil
	refused   func(error) // if set, a failed write drops the change and calls this; otherwise the change is retried
}

func (c change) bytes() int {
	sum := 0
	for _, r := range c.records {
		sum += r.Bytes()
	}
	return sum
}

// batch holds the changes of one group commit.
type batch struct {
	changes   []change
	segment   dotterrecord.Segment
	sealedAt  dotterclock.Millis
	uncertain bool // an earlier write of the segment may have taken effect
}

func (b *batch) records() []dotterrecord.Record {
	var records []dotterrecord.Record
	for _, c := range b.changes {
		records = append(records, c.records...)
	}
	return records
}

// takeBatch returns the changes that go into the next segment and the rest of pending.
func takeBatch(pending []change) (*batch, []change) {
	b := &batch{}
	bytes := 0
	for i, c := range pending {
		bytes += c.bytes()
		if i > 0 && bytes > dottershardlog.MaxBatchBytes {
			return b, pending[i:]
		}
		b.changes = append(b.changes, c)
	}
	return b, nil
}

// changesToRetry returns the changes that are proposed again after a failed write.
func (b *batch) changesToRetry() []change {
	var kept []change
	for _, c := range b.changes {
		if c.refused == nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// answerRefused calls refused with ErrRefused for the changes of b.
func (b *batch) answerRefused() {
	for _, c := range b.changes {
		if c.refused != nil {
			c.refused(ErrRefused)
		}
	}
}

// answerUnknown calls refused with ErrUnknown for the changes of b while the write
// is still unresolved. Later calls of refused have no effect.
func (b *batch) answerUnknown() {
	for i, c := range b.changes {
		if c.refused == nil {
			continue
		}
		c.refused(ErrUnknown)
		b.changes[i].refused = func(error) {}
	}
}
