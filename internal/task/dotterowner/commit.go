package dotterowner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// maxWriteBackoff is the maximum delay before a write is retried.
const maxWriteBackoff = 2 * dotterclock.Second

// propose queues a change for the log. Its tasks are busy until it is committed
// or dropped.
func (o *Owner) propose(c change) {
	for _, r := range c.records {
		for _, id := range r.Tasks() {
			o.busy[id]++
		}
	}
	o.pending = append(o.pending, c)
}

// commit starts the next write, or retries the unresolved one, if it is due.
func (o *Owner) commit(now dotterclock.Millis) {
	o.answerSlowWrite(now)
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
		o.post(func() { o.handleWriteResult(b, wasUncertain, err) })
		return nil
	})
}

// shortenLog proposes an empty change if the log is longer than MaxLogBytes and
// nothing else is to be written. Its segment overwrites the oldest one.
func (o *Owner) shortenLog() {
	if o.logBytes > o.limits.MaxLogBytes && o.writing == nil && len(o.pending) == 0 {
		o.propose(change{})
	}
}

// answerSlowWrite answers the callers of a write that takes longer than AnswerTimeout.
func (o *Owner) answerSlowWrite(now dotterclock.Millis) {
	if o.writing != nil && now-o.writing.sealedAt >= o.limits.AnswerTimeout {
		o.setStoreUnavailable(true)
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

// handleWriteResult processes the result of writing b. If an earlier write of b is
// uncertain, ErrUnavailable doesn't mean that b was not written.
func (o *Owner) handleWriteResult(b *batch, wasUncertain bool, err error) {
	now := o.options.Clock.Now()
	switch {
	case err == nil:
		o.applyCommitted(b)
	case errors.Is(err, dottershardlog.ErrDeposed):
		o.options.Metrics.Commits.WithLabelValues("Deposed").Inc()
		o.depose(err.Error())
	case errors.Is(err, dottershardlog.ErrUnavailable) && !wasUncertain:
		o.options.Metrics.Commits.WithLabelValues("Unavailable").Inc()
		o.requeueBatch(b, now)
	default:
		o.options.Metrics.Commits.WithLabelValues("Indeterminate").Inc()
		o.keepUnresolved(b, now)
	}
}

func (o *Owner) applyCommitted(b *batch) {
	o.options.Metrics.Commits.WithLabelValues("Done").Inc()
	o.options.Metrics.Records.Add(float64(len(b.segment.Records)))
	o.options.Metrics.Bytes.Add(float64(len(b.segment.Encode())))
	o.log.Apply(o.ledger, b.segment)
	o.logBytes = o.log.Bytes()
	o.drainRate.add(b.segment.Records, o.options.Clock.Now())
	o.writing = nil
	o.setStoreUnavailable(false)
	o.backoff = 0
	o.dirty = true
	o.clearBusy(b)
	for _, c := range b.changes {
		if c.committed != nil {
			c.committed()
		}
	}
}

func (o *Owner) clearBusy(b *batch) {
	for _, r := range b.records() {
		for _, id := range r.Tasks() {
			o.busy[id]--
			if o.busy[id] == 0 {
				delete(o.busy, id)
			}
		}
	}
}

// requeueBatch handles a batch that was definitely not written. Changes that can be
// refused are dropped, those still pending included; the others are proposed again.
func (o *Owner) requeueBatch(b *batch, now dotterclock.Millis) {
	o.setStoreUnavailable(true)
	o.writing = nil
	unsealed := &batch{changes: o.pending}
	o.clearBusy(b)
	o.clearBusy(unsealed)
	b.answerRefused()
	unsealed.answerRefused()
	kept := append(b.changesToRetry(), unsealed.changesToRetry()...)
	o.pending = nil
	for _, c := range kept {
		o.propose(c)
	}
	o.scheduleRetry(now)
}

// keepUnresolved keeps a batch that may have been written, so that the same
// segment is written again.
func (o *Owner) keepUnresolved(b *batch, now dotterclock.Millis) {
	o.setStoreUnavailable(true)
	b.uncertain = true
	o.scheduleRetry(now)
}

func (o *Owner) scheduleRetry(now dotterclock.Millis) {
	o.backoff = min(max(2*o.backoff, o.limits.CommitInterval), maxWriteBackoff)
	o.nextWrite = now + o.backoff
}

func (o *Owner) setStoreUnavailable(unavailable bool) {
	if unavailable != o.storeUnavailable {
		o.logger.Info("Store availability changed", zap.Bool("Away", unavailable))
	}
	o.storeUnavailable = unavailable
}

// charges returns the totals updated by the ends among records, so that an end
// and its charge are committed in the same segment.
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
			sums[key] = o.currentTotal(key)
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

func (o *Owner) currentTotal(key dotterrecord.TotalKey) dotterrecord.Total {
	t := o.ledger.Total(key)
	if t.Attempts > 0 {
		return t
	}
	return dotterrecord.Total{Team: key.Team, Partner: key.Partner, Split: key.Split,
		Percent: sharePercent(o.document.Partners, key.Partner), Revision: o.document.Revision}
}
