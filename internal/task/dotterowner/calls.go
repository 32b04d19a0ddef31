package dotterowner

import (
	"context"
	"errors"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

const (
	// renewalsPerLease is how often a lease is renewed before it lapses.
	renewalsPerLease = 3
	// pollFloor is the least time between two renewals of a worker whose attempts are due to end.
	pollFloor = 250
	// pollOverrunParts is the inverse of the part of its overrun after which an overdue attempt is asked for again.
	pollOverrunParts = 8
	// callBackoffLimit is the longest wait before an unreachable worker is called again.
	callBackoffLimit = 5 * dotterclock.Second
)

// workerCall is one command to a worker.
type workerCall func(ctx context.Context, address string) (dotterattempt.Report, error)

// callWorkers makes at most one call to each worker that needs one.
func (o *Owner) callWorkers(now dotterclock.Millis) {
	for _, w := range o.workers {
		if w.calling || now < w.nextCall || w.host.Address == "" {
			continue
		}
		o.callNext(w, now)
	}
}

// callNext makes the call that w needs most.
func (o *Owner) callNext(w *worker, now dotterclock.Millis) {
	if w.suspect || !w.raised || w.failures > 0 {
		o.inventory(w)
		return
	}
	if o.sendOrder(w, now) {
		return
	}
	if now >= w.nextRenewal {
		o.renew(w, now)
		return
	}
	o.sendStart(w, now)
}

// call runs one command beside the loop and takes its answer in on the loop.
func (o *Owner) call(w *worker, command workerCall, answered func(dotterattempt.Report, error)) {
	w.calling = true
	address := w.host.Address
	o.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), o.limits.CallTimeout.Duration())
		defer cancel()
		report, err := command(ctx, address)
		o.post(func() { o.heard(w, report, err, answered) })
		return nil
	})
}

func (o *Owner) heard(w *worker, report dotterattempt.Report, err error, answered func(dotterattempt.Report, error)) {
	now := o.options.Clock.Now()
	w.calling = false
	if err == nil && report.Worker != "" && report.Worker != w.host.Name {
		err = dotterelusher.ErrWorkerIndeterminate
	}
	if err != nil {
		o.unheard(w, now, err)
		answered(report, err)
		return
	}
	if report.Epoch > o.log.Epoch() {
		o.depose("worker " + w.host.Name + " has seen a higher epoch")
		return
	}
	if w.failures > 0 {
		o.dirty = true
	}
	w.failures = 0
	w.nextCall = 0
	w.clock = report.Clock
	w.heardAt = now
	if w.raised && w.incarnation != report.Incarnation {
		w.suspect = true
	}
	w.incarnation = report.Incarnation
	answered(report, nil)
	o.observe(w, report, now)
}

func (o *Owner) unheard(w *worker, now dotterclock.Millis, err error) {
	if w.failures == 0 {
		o.logger.Info("Worker unreachable", zap.String("Worker", w.host.Name), zap.Error(err))
		o.dirty = true
	}
	w.failures++
	w.nextCall = now + min(dotterclock.Millis(w.failures)*o.limits.Tick*4, callBackoffLimit)
}

func (o *Owner) observe(w *worker, report dotterattempt.Report, now dotterclock.Millis) {
	if len(report.Usage) == 0 {
		return
	}
	o.options.Placer.Observe(now, w.host.Name, report.Usage)
	for _, u := range report.Usage {
		r, ok := w.runs[u.Task]
		if ok && r.attempt == u.Attempt {
			r.size = r.size.Max(u.Used)
		}
	}
	o.dirty = true
}

// renew renews every lease on w, acknowledges logged ends and takes in what ended.
func (o *Owner) renew(w *worker, now dotterclock.Millis) {
	renewal := dotterattempt.Renewal{
		Shard: o.options.Shard.String(), Epoch: o.log.Epoch(), Lease: o.limits.Lease, Ended: w.ends,
	}
	for _, r := range w.ordered() {
		if r.phase == phaseRunning {
			renewal.Attempts = append(renewal.Attempts, o.ref(r))
		}
	}
	acknowledged := len(w.ends)
	w.noteRenewalSent(now, o.limits)
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Renew(ctx, address, renewal)
	}, func(report dotterattempt.Report, err error) {
		o.renewed(w, acknowledged, report, err)
	})
}

func (o *Owner) renewed(w *worker, acknowledged int, report dotterattempt.Report, err error) {
	now := o.options.Clock.Now()
	if errors.Is(err, dotterelusher.ErrWorkerUnreachable) {
		return
	}
	if err != nil {
		w.noteRenewalLost(now)
		return
	}
	if report.Refused != "" {
		w.suspect = true
		return
	}
	w.noteRenewalAnswered(now, o.limits)
	w.ends = w.ends[acknowledged:]
	o.takeStatuses(w, report, now)
	o.noticeAbsent(w, report)
	w.nextRenewal = o.nextRenewal(w, now)
}

// noticeAbsent asks for an inventory when the worker no longer has an attempt.
func (o *Owner) noticeAbsent(w *worker, report dotterattempt.Report) {
	present := refsOf(report)
	for _, r := range w.runs {
		if _, ok := present[o.ref(r)]; !ok && r.phase == phaseRunning {
			w.suspect = true
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

// nextRenewal is early when an attempt is about to end, since workers tell of
// ends only when they are asked.
func (o *Owner) nextRenewal(w *worker, now dotterclock.Millis) dotterclock.Millis {
	next := now + o.limits.Lease/renewalsPerLease
	if len(w.ends) > 0 {
		next = min(next, now+dotterclock.Second)
	}
	for _, r := range w.runs {
		if r.phase == phaseRunning {
			next = min(next, pollAt(r, now))
		}
	}
	return next
}

func pollAt(r *run, now dotterclock.Millis) dotterclock.Millis {
	overrun := now - r.expectedEnd()
	if overrun < 0 {
		return max(r.expectedEnd(), now+pollFloor)
	}
	return now + max(pollFloor, overrun/pollOverrunParts)
}

func (o *Owner) ref(r *run) dotterattempt.Ref {
	return dotterattempt.Ref{Shard: o.options.Shard.String(), Task: r.task.ID, Attempt: r.attempt}
}

// inventory raises w's epoch of the shard and learns which attempts it has.
func (o *Owner) inventory(w *worker) {
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Inventory(ctx, address, o.options.Shard.String(), o.log.Epoch())
	}, func(report dotterattempt.Report, err error) {
		if err != nil || report.Refused != "" {
			return
		}
		o.inventoried(w, report)
	})
}

// inventoried settles what was uncertain on w.
func (o *Owner) inventoried(w *worker, report dotterattempt.Report) {
	now := o.options.Clock.Now()
	firstOfEpoch := !w.raised
	if firstOfEpoch {
		// Leases that the owner before granted end in time; the raised epoch keeps
		// it from renewing them.
		w.noteStartSent(now, o.limits)
	}
	w.raised = true
	w.suspect = false
	w.nextRenewal = now
	o.dirty = true
	o.takeStatuses(w, report, now)
	present := refsOf(report)
	for _, r := range w.ordered() {
		if _, ok := present[o.ref(r)]; ok || !r.mayRun() {
			continue
		}
		o.settleAbsent(w, r, firstOfEpoch, now)
	}
}

// settleAbsent decides on an attempt that its worker doesn't have.
func (o *Owner) settleAbsent(w *worker, r *run, firstOfEpoch bool, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok {
		return
	}
	if w.incarnation != e.Incarnation || r.phase == phaseRunning {
		o.attemptLost(r, "the worker no longer has it")
		return
	}
	// The worker's process is the one for which the attempt was reserved, and it
	// keeps ends until they are acknowledged, which happens after they are logged:
	// the attempt has never started. A start under way can't come in any more
	// once the epoch is raised or its latest start is past.
	if firstOfEpoch || w.clock > r.latestStart {
		r.phase = phaseAhead
		return
	}
	w.suspect = true
	w.nextCall = now + r.latestStart - w.clock + 1
}
