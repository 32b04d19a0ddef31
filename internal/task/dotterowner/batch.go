package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// change is records that go into the log together.
type change struct {
	records   []dotterrecord.Record
	committed func()      // called once they are in the log; may be nil
	refused   func(error) // not nil: a caller waits, and the change is dropped rather than kept
}

func (c change) bytes() int {
	sum := 0
	for _, r := range c.records {
		sum += r.Bytes()
	}
	return sum
}

// batch is the changes of one group commit.
type batch struct {
	changes   []change
	segment   dotterrecord.Segment
	sealedAt  dotterclock.Millis
	uncertain bool // a write of it may have taken effect
}

func (b *batch) records() []dotterrecord.Record {
	var records []dotterrecord.Record
	for _, c := range b.changes {
		records = append(records, c.records...)
	}
	return records
}

// takeBatch splits off the changes that go into the next segment.
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

// kept returns the changes that nobody waits for.
func (b *batch) kept() []change {
	var kept []change
	for _, c := range b.changes {
		if c.refused == nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// answerRefused refuses the callers that wait for b and keeps b's changes apart.
func (b *batch) answerRefused() {
	for _, c := range b.changes {
		if c.refused != nil {
			c.refused(ErrRefused)
		}
	}
}

// answerUnknown gives the callers that wait for b their final answer while the
// write stays unresolved.
func (b *batch) answerUnknown() {
	for i, c := range b.changes {
		if c.refused == nil {
			continue
		}
		c.refused(ErrUnknown)
		b.changes[i].refused = func(error) {}
	}
}
