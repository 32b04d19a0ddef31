package dotterowner

import (
	"context"
	"errors"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

const (
	// renewalsPerLease is the number of renewals during the lifetime of a lease.
	renewalsPerLease = 3
	// minPollInterval is the minimum time, in milliseconds, between two renewals for a
	// worker whose attempts are due to end.
	minPollInterval = 250
	// pollOverrunDivisor sets the poll interval of an overdue attempt: its overrun
	// divided by this.
	pollOverrunDivisor = 8
)

// renew renews every lease on w, acknowledges the logged ends and processes the
// ends that w reports.
func (o *Owner) renew(w *worker, now dotterclock.Millis) {
	renewal := dotterattempt.Renewal{
		Shard: o.options.Shard.String(), Epoch: o.log.Epoch(), Lease: o.limits.LeaseDuration, Ended: w.unacknowledgedEnds,
	}
	for _, a := range w.sortedAttempts() {
		if a.phase == phaseRunning {
			renewal.Attempts = append(renewal.Attempts, o.ref(a))
		}
	}
	acknowledged := len(w.unacknowledgedEnds)
	w.noteRenewalSent(now, o.limits)
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Renew(ctx, address, renewal)
	}, func(report dotterattempt.Report, err error) {
		o.handleRenewalReply(w, acknowledged, report, err)
	})
}

func (o *Owner) handleRenewalReply(w *worker, acknowledged int, report dotterattempt.Report, err error) {
	now := o.options.Clock.Now()
	if errors.Is(err, dotterelusher.ErrWorkerUnreachable) {
		return
	}
	if err != nil {
		w.noteRenewalLost(now)
		return
	}
	if report.Refused != "" {
		w.needsInventory = true
		return
	}
	w.noteRenewalAnswered(now, o.limits)
	w.unacknowledgedEnds = w.unacknowledgedEnds[acknowledged:]
	o.handleStatuses(w, report, now)
	o.detectMissing(w, report)
	w.nextRenewal = o.nextRenewal(w, now)
}

// detectMissing requests an inventory if the report lacks an attempt that should be
// running.
func (o *Owner) detectMissing(w *worker, report dotterattempt.Report) {
	present := refsOf(report)
	for _, a := range w.attempts {
		if _, ok := present[o.ref(a)]; !ok && a.phase == phaseRunning {
			w.needsInventory = true
		}
	}
}

func refsOf(report dotterattempt.Report) map[dotterattempt.Ref]struct{} {
	refs := make(map[dotterattempt.Ref]struct{}, len(report.Attempts))
	for _, s := range report.Attempts {
		refs[s.Ref] = struct{}{}
	}
	return refs
}

// nextRenewal returns the time of the next renewal for w. It is early if an
// attempt is about to end, since workers report ends only when they are called.
func (o *Owner) nextRenewal(w *worker, now dotterclock.Millis) dotterclock.Millis {
	next := now + o.limits.LeaseDuration/renewalsPerLease
	if len(w.unacknowledgedEnds) > 0 {
		next = min(next, now+dotterclock.Second)
	}
	for _, a := range w.attempts {
		if a.phase == phaseRunning {
			next = min(next, nextPoll(a, now))
		}
		if o.isSuspect(a) {
			next = min(next, max(a.startedAt+soundAge, now+minPollInterval))
		}
	}
	return next
}

func nextPoll(a *attempt, now dotterclock.Millis) dotterclock.Millis {
	overrun := now - a.expectedEnd()
	if overrun < 0 {
		return max(a.expectedEnd(), now+minPollInterval)
	}
	return now + max(minPollInterval, overrun/pollOverrunDivisor)
}
