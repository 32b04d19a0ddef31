package dotterstandworker

import (
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// attempt is an attempt that is running on a worker, or whose end is not acknowledged yet.
type attempt struct {
	start       dotterattempt.Start
	behaviour   Behaviour
	used        dotterroom.Room
	totalWork   float64 // run time that the task needs without interference, in milliseconds
	completed   float64 // part of totalWork done so far, including by earlier attempts
	ranMillis   float64 // run time of this attempt so far
	attemptWork float64 // part of totalWork done in this attempt
	slowdown    float64 // current slowdown factor
	percent     int     // share of its processor time; 100 when not throttled
	leaseUntil  dotterclock.Millis
	sampledAt   dotterclock.Millis
	phase       dotterattempt.Phase
	checkpoint  string
	reason      string
	run         *dottertruth.Run
}

func newAttempt(start dotterattempt.Start, now dotterclock.Millis) *attempt {
	behaviour := ParseBehaviour(start.Payload)
	resumed, _ := strconv.ParseFloat(start.ResumeFrom, 64) // an invalid checkpoint restarts the task from the beginning
	return &attempt{
		start:      start,
		behaviour:  behaviour,
		used:       behaviour.Use(start.Size),
		totalWork:  float64(behaviour.Work(start)),
		completed:  resumed,
		slowdown:   1,
		percent:    100,
		leaseUntil: now + start.Lease,
		sampledAt:  now,
		phase:      dotterattempt.PhaseRunning,
	}
}

func (a *attempt) running() bool {
	return a.phase == dotterattempt.PhaseRunning
}

// advance accounts for duration milliseconds of run time at the current slowdown.
func (a *attempt) advance(duration float64) {
	work := duration / a.slowdown
	a.ranMillis += duration
	a.attemptWork += work
	a.completed += work
}

func (a *attempt) status() dotterattempt.Status {
	return dotterattempt.Status{
		Ref:        a.start.Ref,
		Phase:      a.phase,
		Checkpoint: a.checkpoint,
		Reason:     a.reason,
		RanMillis:  dotterclock.Millis(a.ranMillis),
		Size:       a.start.Size,
	}
}

// meanSlowdown returns the run time of this attempt divided by the run time that the
// same work takes without interference.
func (a *attempt) meanSlowdown() float64 {
	if a.attemptWork == 0 {
		return 1
	}
	return a.ranMillis / a.attemptWork
}

// latency returns the p99 latency at a slowdown, or 0 if the attempt is not latency-critical.
func (a *attempt) latency(slowdown float64) float64 {
	if !a.start.Critical {
		return 0
	}
	return a.behaviour.LatencyMillis * slowdown
}

func (a *attempt) usage(now dotterclock.Millis) dotterattempt.Usage {
	progress := 1.0
	if a.totalWork > 0 {
		progress = min(a.completed/a.totalWork, 1)
	}
	return dotterattempt.Usage{
		Ref:           a.start.Ref,
		At:            now,
		Used:          a.used,
		Progress:      progress,
		Slowdown:      a.slowdown,
		LatencyMillis: a.latency(a.slowdown),
	}
}

// save stores the completed work as the attempt's checkpoint.
func (a *attempt) save() {
	a.checkpoint = strconv.FormatFloat(a.completed, 'f', 3, 64)
}
