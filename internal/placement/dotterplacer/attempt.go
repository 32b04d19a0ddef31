package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// confirmAfter is the run time after which a report of progress confirms a start.
	confirmAfter = 2 * dotterclock.Second

	// assumeConfirmedAfter is the run time after which a start is taken as confirmed without a report.
	assumeConfirmedAfter = 10 * dotterclock.Second

	// successAfter is the run time after which an attempt counts as done well though it goes on.
	successAfter = 30 * dotterclock.Second

	// smoothingFactor is the part of a new report in the smoothed slowdown.
	smoothingFactor = 0.5
)

// attempt is what is known of a running attempt.
type attempt struct {
	number         int
	template       string
	targetSlowdown float64 // slowdown up to which it is undisturbed; 0 for batch
	startedAt      dotterclock.Millis
	throttled      int

	reportedAt        dotterclock.Millis
	slowdown          float64 // smoothed; 0 before the first report
	latency           float64 // newest, milliseconds
	reportsOverTarget int     // reports in a row over the target
	peak              dotterroom.Room
	confirmed         bool // it has shown progress
	successCounted    bool // it has run well for provenSpan
	lastPlan          int  // plan in which it was seen last
}

// update takes in what the shard knows of the attempt at now.
func (a *attempt) update(now dotterclock.Millis, h dotterplan.Holder, plan int) {
	if a.number != h.Task.Attempt {
		*a = attempt{number: h.Task.Attempt, template: h.Task.Template}
	}
	if h.StartedAt > 0 && now-h.StartedAt >= assumeConfirmedAfter {
		a.confirmed = true
	}
	a.startedAt = h.StartedAt
	a.throttled = h.Throttled
	a.lastPlan = plan
}

// addUsage takes in a usage report.
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
