package dotterowner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// backoffLimit is the longest wait between two tries of a write.
const backoffLimit = 2 * dotterclock.Second

// propose puts a change on its way into the log; its tasks are busy until then.
func (o *Owner) propose(c change) {
	for _, r := range c.records {
		for _, id := range r.Tasks() {
			o.busy[id]++
		}
	}
	o.pending = append(o.pending, c)
}

// commit starts the next write, or the next try of the unresolved one, if due.
func (o *Owner) commit(now dotterclock.Millis) {
	o.answerSlow(now)
	if now < o.nextWrite || o.writing != nil && !o.writing.uncertain {
		return
	}
	o.shortenLog()
	if o.writing == nil && len(o.pending) == 0 {
		return
	}
	if o.writing == nil {
		o.seal(now)
	}
	o.nextWrite = now + o.limits.CommitInterval
	b := o.writing
	wasUncertain := b.uncertain
	b.uncertain = false
	o.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), o.limits.StoreTimeout.Duration())
		defer cancel()
		err := o.log.Write(ctx, b.segment)
		o.post(func() { o.wrote(b, wasUncertain, err) })
		return nil
	})
}

// shortenLog writes an empty segment over the oldest one when the log has grown
// long and nothing else is to be written.
func (o *Owner) shortenLog() {
	if o.logBytes > o.limits.LogBytes && o.writing == nil && len(o.pending) == 0 {
		o.propose(change{})
	}
}

// answerSlow gives callers that wait for a slow write their final answer.
func (o *Owner) answerSlow(now dotterclock.Millis) {
	if o.writing != nil && now-o.writing.sealedAt >= o.limits.AnswerWithin {
		o.setAway(true)
		o.writing.answerUnknown()
	}
}

func (o *Owner) seal(now dotterclock.Millis) {
	b, rest := takeBatch(o.pending)
	o.pending = rest
	records := b.records()
	records = append(records, o.charges(records)...)
	b.segment = o.log.BuildSegment(o.ledger, records, o.sequence)
	b.sealedAt = now
	o.writing = b
}

// wrote takes in the outcome of a try to write b.
func (o *Owner) wrote(b *batch, wasUncertain bool, err error) {
	now := o.options.Clock.Now()
	switch {
	case err == nil:
		o.committed(b)
	case errors.Is(err, dottershardlog.ErrDeposed):
		o.options.Metrics.Commits.WithLabelValues("Deposed").Inc()
		o.depose(err.Error())
	case errors.Is(err, dottershardlog.ErrUnavailable) && !wasUncertain:
		o.options.Metrics.Commits.WithLabelValues("Unavailable").Inc()
		o.unwritten(b, now)
	default:
		o.options.Metrics.Commits.WithLabelValues("Indeterminate").Inc()
		o.unresolved(b, now)
	}
}

func (o *Owner) committed(b *batch) {
	o.options.Metrics.Commits.WithLabelValues("Done").Inc()
	o.options.Metrics.Records.Add(float64(len(b.segment.Records)))
	o.options.Metrics.Bytes.Add(float64(len(b.segment.Encode())))
	o.log.Apply(o.ledger, b.segment)
	o.logBytes = o.log.Bytes()
	o.drained.note(b.segment.Records, o.options.Clock.Now())
	o.writing = nil
	o.setAway(false)
	o.backoff = 0
	o.dirty = true
	o.release(b)
	for _, c := range b.changes {
		if c.committed != nil {
			c.committed()
		}
	}
}

func (o *Owner) release(b *batch) {
	for _, r := range b.records() {
		for _, id := range r.Tasks() {
			o.busy[id]--
			if o.busy[id] == 0 {
				delete(o.busy, id)
			}
		}
	}
}

// unwritten takes back a batch that surely took no effect: callers are refused,
// the other changes wait.
func (o *Owner) unwritten(b *batch, now dotterclock.Millis) {
	o.setAway(true)
	o.writing = nil
	waiting := &batch{changes: o.pending}
	o.release(b)
	o.release(waiting)
	b.answerRefused()
	waiting.answerRefused()
	kept := append(b.kept(), waiting.kept()...)
	o.pending = nil
	for _, c := range kept {
		o.propose(c)
	}
	o.retryLater(now)
}

// unresolved keeps a batch that may have taken effect for another try of the same.
func (o *Owner) unresolved(b *batch, now dotterclock.Millis) {
	o.setAway(true)
	b.uncertain = true
	o.retryLater(now)
}

func (o *Owner) retryLater(now dotterclock.Millis) {
	o.backoff = min(max(2*o.backoff, o.limits.CommitInterval), backoffLimit)
	o.nextWrite = now + o.backoff
}

func (o *Owner) setAway(away bool) {
	if away != o.away {
		o.logger.Info("Store changed", zap.Bool("Away", away))
	}
	o.away = away
}

// charges returns the new sums of what the ends among records use, so that
// charge and end stand in one segment.
func (o *Owner) charges(records []dotterrecord.Record) []dotterrecord.Record {
	sums := make(map[dotterrecord.TotalKey]dotterrecord.Total)
	var order []dotterrecord.TotalKey
	for _, r := range records {
		if r.Ended == nil || r.Ended.RanMillis <= 0 {
			continue
		}
		e, ok := o.ledger.Entry(r.Ended.Task)
		if !ok || !e.Bound() || e.Task.Attempt != r.Ended.Attempt {
			continue
		}
		key := o.totalKey(e.Task.Team)
		if _, seen := sums[key]; !seen {
			sums[key] = o.totalBefore(key)
			order = append(order, key)
		}
		sums[key] = sums[key].WithCharge(e.Held, r.Ended.RanMillis, o.costWeight(e.Task.Template))
	}
	totals := make([]dotterrecord.Record, 0, len(order))
	for _, key := range order {
		t := sums[key]
		totals = append(totals, dotterrecord.Record{Total: &t})
	}
	return totals
}

func (o *Owner) totalBefore(key dotterrecord.TotalKey) dotterrecord.Total {
	t := o.ledger.Total(key)
	if t.Attempts > 0 {
		return t
	}
	return dotterrecord.Total{Team: key.Team, Partner: key.Partner, Split: key.Split,
		Percent: sharePercent(o.document.Partners, key.Partner), Revision: o.document.Revision}
}
