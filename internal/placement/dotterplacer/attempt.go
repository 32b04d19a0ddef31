package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// confirmAfter is the run time from which a report of progress confirms a
	// start.
	confirmAfter = 2 * dotterclock.Second

	// assumeConfirmedAfter is the run time after which a start counts as
	// confirmed without a report.
	assumeConfirmedAfter = 10 * dotterclock.Second

	// successAfter is the run time after which a confirmed attempt is counted
	// as a success while it is still running.
	successAfter = 30 * dotterclock.Second

	// smoothingFactor is the weight of a new value in an exponential moving
	// average.
	smoothingFactor = 0.5
)

// attempt holds the state and the reported usage of a running attempt.
type attempt struct {
	number         int
	template       string
	targetSlowdown float64 // 0 for batch
	startedAt      dotterclock.Millis
	throttled      int

	reportedAt        dotterclock.Millis
	slowdown          float64 // smoothed; 0 before the first report
	latency           float64 // latest report, in milliseconds
	reportsOverTarget int     // consecutive reports over the target
	peak              dotterroom.Room
	confirmed         bool            // has shown progress or has run for assumeConfirmedAfter
	successCounted    bool            // counted as a success by recordLongRun
	countedPeak       dotterroom.Room // the peak that recordLongRun added to the sizes
	lastPlan          int             // number of the last plan whose snapshot contained it
}

// update takes over the state of the attempt from the snapshot of the shard,
// and resets everything learned of an earlier attempt of the same task.
func (a *attempt) update(now dotterclock.Millis, h dotterplan.Holder, plan int) {
	if a.number != h.Task.Attempt {
		*a = attempt{number: h.Task.Attempt, template: h.Task.Template}
	}
	if h.StartedAt > 0 && now-h.StartedAt >= assumeConfirmedAfter {
		a.confirmed = true
	}
	a.startedAt = h.StartedAt
	a.throttled = h.ThrottlePercent
	a.lastPlan = plan
}

// addUsage updates the attempt with a usage report. A report counts as over the
// target only if both its own slowdown and the moving average are.
func (a *attempt) addUsage(now dotterclock.Millis, u dotterattempt.Usage) {
	a.reportedAt = now
	a.latency = u.LatencyMillis
	a.peak = a.peak.Max(u.Used)
	if a.startedAt > 0 && u.Progress > 0 && now-a.startedAt >= confirmAfter {
		a.confirmed = true
	}
	if u.Slowdown <= 0 {
		return
	}
	if a.slowdown == 0 {
		a.slowdown = u.Slowdown
	}
	a.slowdown += smoothingFactor * (u.Slowdown - a.slowdown)
	if min(a.slowdown, u.Slowdown) <= a.targetSlowdown*upperBand {
		a.reportsOverTarget = 0
		return
	}
	a.reportsOverTarget++
}
