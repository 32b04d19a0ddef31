package dotterowner

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// retryShortest and retryLongest bound what a refused caller is told to wait.
	retryShortest = dotterclock.Second
	retryLongest  = 60 * dotterclock.Second
	// retryShare is the part of a full queue that is to have drained by then.
	retryShare = 0.05
	// drainWindow is the span over which the drain rate is counted.
	drainWindow = 5 * dotterclock.Second
	// drainWeight is the weight of the newest window in the rate.
	drainWeight = 0.5
)

// drainRate follows how many tasks leave the shard each second.
type drainRate struct {
	perSecond float64
	count     int
	since     dotterclock.Millis
}

// note counts the tasks that records end or move.
func (d *drainRate) note(records []dotterrecord.Record, now dotterclock.Millis) {
	for _, r := range records {
		switch {
		case r.Ended != nil && r.Ended.State.Final(), r.Moved != nil, r.Cancelled != nil:
			d.count += len(r.Tasks())
		}
	}
	if elapsed := now - d.since; elapsed >= drainWindow {
		d.perSecond += drainWeight * (float64(d.count)/elapsed.Seconds() - d.perSecond)
		d.count = 0
		d.since = now
	}
}

// after returns how long it takes until the given number of tasks have left.
func (d *drainRate) after(tasks float64) dotterclock.Millis {
	if d.perSecond <= 0 {
		return retryLongest
	}
	wait := tasks / d.perSecond * float64(dotterclock.Second)
	return dotterclock.Millis(min(max(wait, float64(retryShortest)), float64(retryLongest)))
}

// RetryAfter returns when a refused submission is worth repeating: once the
// store may be tried again, or once a part of a full queue has drained.
func (o *Owner) RetryAfter(ctx context.Context) dotterclock.Millis {
	wait := retryShortest
	_ = o.ask(ctx, func() {
		switch {
		case o.away:
			wait = max(o.backoff, retryShortest)
		case 2*(o.ledger.QueueLen()+o.pendingTasks) > o.limits.MaxQueued:
			wait = o.drained.after(retryShare * float64(o.limits.MaxQueued))
		}
	})
	return wait
}
