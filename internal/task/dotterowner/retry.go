package dotterowner

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// minRetryAfter and maxRetryAfter bound the wait advised to a refused caller.
	minRetryAfter = dotterclock.Second
	maxRetryAfter = 60 * dotterclock.Second
	// drainedFraction is the fraction of a full queue that should drain before the
	// caller retries.
	drainedFraction = 0.05
	// drainRateWindow is the interval over which departing tasks are counted.
	drainRateWindow = 5 * dotterclock.Second
	// drainRateWeight is the weight of the latest window in the moving average.
	drainRateWeight = 0.5
)

// drainRate is an exponential moving average of the tasks that leave the shard
// per second.
type drainRate struct {
	perSecond float64
	count     int
	since     dotterclock.Millis
}

// add counts the tasks that the records end, move or cancel.
func (d *drainRate) add(records []dotterrecord.Record, now dotterclock.Millis) {
	for _, r := range records {
		switch {
		case r.Ended != nil && r.Ended.State.Final(), r.Moved != nil, r.Cancelled != nil:
			d.count += len(r.Tasks())
		}
	}
	if elapsed := now - d.since; elapsed >= drainRateWindow {
		d.perSecond += drainRateWeight * (float64(d.count)/elapsed.Seconds() - d.perSecond)
		d.count = 0
		d.since = now
	}
}

// timeToDrain returns the estimated time until the given number of tasks have left
// the shard, between minRetryAfter and maxRetryAfter.
func (d *drainRate) timeToDrain(tasks float64) dotterclock.Millis {
	if d.perSecond <= 0 {
		return maxRetryAfter
	}
	wait := tasks / d.perSecond * float64(dotterclock.Second)
	return dotterclock.Millis(min(max(wait, float64(minRetryAfter)), float64(maxRetryAfter)))
}

// RetryAfter returns how long a refused caller should wait before it retries: until
// the next write to an unavailable store, or until part of a full queue has drained.
func (o *Owner) RetryAfter(ctx context.Context) dotterclock.Millis {
	wait := minRetryAfter
	_ = o.runOnLoop(ctx, func() {
		switch {
		case o.storeUnavailable:
			wait = max(o.backoff, minRetryAfter)
		case 2*(o.ledger.QueueLen()+o.pendingTasks) > o.limits.MaxQueued:
			wait = o.drainRate.timeToDrain(drainedFraction * float64(o.limits.MaxQueued))
		}
	})
	return wait
}
