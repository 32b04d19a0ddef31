package dotterstandworker

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// Reasons why a worker refuses a command.
const (
	RefusedEpoch       = "the epoch is older than one seen before"
	RefusedLate        = "the start came too late"
	RefusedIncarnation = "the start is meant for another incarnation"
	RefusedRoom        = "there is no room"
	RefusedEnded       = "the attempt has ended"
	RefusedFault       = "the worker refuses every start"
	RefusedAbsent      = "there is no such attempt"
)

// Start starts an attempt. Repeating a start for the same attempt has no effect.
func (w *Worker) Start(start dotterattempt.Start) dotterattempt.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	if !w.acceptEpoch(start.Shard, start.Epoch) {
		return w.refuse(start.Shard, RefusedEpoch)
	}
	if a, ok := w.attempts[start.Ref]; ok {
		return w.report(start.Shard, a)
	}
	if reason := w.refusal(start); reason != "" {
		return w.refuse(start.Shard, reason)
	}
	a := newAttempt(start, w.now())
	a.run = w.recorder.StartRun(w.host.Name, start, a.behaviour.Work(start), w.platformTime(a.leaseUntil))
	w.attempts[start.Ref] = a
	return w.report(start.Shard, a)
}

// Renew extends leases, takes acknowledgements of ends, and reports the shard's attempts and usage.
func (w *Worker) Renew(renewal dotterattempt.Renewal) dotterattempt.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	if !w.acceptEpoch(renewal.Shard, renewal.Epoch) {
		return w.refuse(renewal.Shard, RefusedEpoch)
	}
	until := w.now() + renewal.Lease
	for _, ref := range renewal.Attempts {
		if a, ok := w.attempts[ref]; ok && a.running() {
			a.leaseUntil = until
			w.recorder.ExtendRun(a.run, w.platformTime(until))
		}
	}
	for _, ref := range renewal.Ended {
		if a, ok := w.attempts[ref]; ok && !a.running() {
			delete(w.attempts, ref)
		}
	}
	report := w.report(renewal.Shard, w.attemptsOf(renewal.Shard)...)
	report.Usage = w.drainUsage(renewal.Shard)
	return report
}

// Checkpoint saves the attempt's progress and ends it with PhaseCheckpointed.
func (w *Worker) Checkpoint(order dotterattempt.Order) dotterattempt.Report {
	return w.applyOrder(order, func(a *attempt) {
		a.save()
		w.finish(a, dotterattempt.PhaseCheckpointed, "")
	})
}

// Throttle limits the attempt to order.Percent of its processor time.
func (w *Worker) Throttle(order dotterattempt.Order) dotterattempt.Report {
	return w.applyOrder(order, func(a *attempt) {
		a.percent = min(max(order.Percent, 1), 100)
	})
}

// Stop ends the attempt with PhaseStopped.
func (w *Worker) Stop(order dotterattempt.Order) dotterattempt.Report {
	return w.applyOrder(order, func(a *attempt) {
		w.finish(a, dotterattempt.PhaseStopped, "")
	})
}

// Inventory raises the shard's epoch and reports all its attempts.
func (w *Worker) Inventory(shard string, epoch int64) dotterattempt.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	if !w.acceptEpoch(shard, epoch) {
		return w.refuse(shard, RefusedEpoch)
	}
	return w.report(shard, w.attemptsOf(shard)...)
}

// applyOrder calls apply on the attempt if it is running, and reports the attempt's
// status in any case.
func (w *Worker) applyOrder(order dotterattempt.Order, apply func(*attempt)) dotterattempt.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	if !w.acceptEpoch(order.Shard, order.Epoch) {
		return w.refuse(order.Shard, RefusedEpoch)
	}
	a, ok := w.attempts[order.Ref]
	if !ok {
		return w.refuse(order.Shard, RefusedAbsent)
	}
	if a.running() {
		apply(a)
	}
	return w.report(order.Shard, a)
}

// refusal returns the reason to refuse a new attempt, or "". The caller holds mu.
func (w *Worker) refusal(start dotterattempt.Start) string {
	switch {
	case w.finished[start.Ref]:
		return RefusedEnded
	case w.fault.RefuseStarts:
		return RefusedFault
	case start.Incarnation != w.incarnation:
		return RefusedIncarnation
	case w.now() > start.LatestStart:
		w.recorder.CountRefusal(w.host.Name, func(t *dottertruth.Worker) { t.TooLate++ })
		return RefusedLate
	case !w.held().Add(start.Size).Fits(w.host.Capacity):
		w.recorder.CountRefusal(w.host.Name, func(t *dottertruth.Worker) { t.WithoutRoom++ })
		return RefusedRoom
	}
	return ""
}

// acceptEpoch records the epoch of a command and returns true, or returns false if
// the shard has used a higher epoch before. The caller holds mu.
func (w *Worker) acceptEpoch(shard string, epoch int64) bool {
	if epoch < w.epochs[shard] {
		w.recorder.CountRefusal(w.host.Name, func(t *dottertruth.Worker) { t.OldEpoch++ })
		return false
	}
	w.epochs[shard] = epoch
	return true
}

// drainUsage removes and returns the shard's samples that are at least UsageLag old. The caller holds mu.
func (w *Worker) drainUsage(shard string) []dotterattempt.Usage {
	newest := w.now() - w.options.UsageLag
	var due, kept []dotterattempt.Usage
	for _, u := range w.usage {
		if u.Shard == shard && u.At <= newest {
			due = append(due, u)
			continue
		}
		kept = append(kept, u)
	}
	w.usage = kept
	return due
}

// attemptsOf returns the shard's attempts, sorted by task and attempt number. The caller holds mu.
func (w *Worker) attemptsOf(shard string) []*attempt {
	var found []*attempt
	for _, a := range w.attempts {
		if a.start.Shard == shard {
			found = append(found, a)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].start.Task != found[j].start.Task {
			return found[i].start.Task < found[j].start.Task
		}
		return found[i].start.Attempt < found[j].start.Attempt
	})
	return found
}

func (w *Worker) refuse(shard, reason string) dotterattempt.Report {
	report := w.report(shard)
	report.Refused = reason
	return report
}

// report returns a report with the status of the attempts. The caller holds mu.
func (w *Worker) report(shard string, attempts ...*attempt) dotterattempt.Report {
	report := dotterattempt.Report{
		Worker:      w.host.Name,
		Incarnation: w.incarnation,
		Clock:       w.now(),
		Epoch:       w.epochs[shard],
	}
	for _, a := range attempts {
		report.Attempts = append(report.Attempts, a.status())
	}
	return report
}
