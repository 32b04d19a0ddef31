package dotterstandworker

import (
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// attempt is one attempt that runs on a worker, or ended and not yet acknowledged.
type attempt struct {
	start      dotterattempt.Start
	behaviour  Behaviour
	used       dotterroom.Room
	work       float64 // undisturbed milliseconds that the task needs in all
	done       float64 // of them, those done
	ran        float64 // milliseconds spent running
	gained     float64 // undisturbed milliseconds done in this attempt
	slowdown   float64 // at present
	percent    int     // of its processor time; 100 when it isn't throttled
	leaseUntil dotterclock.Millis
	sampledAt  dotterclock.Millis
	phase      dotterattempt.Phase
	checkpoint string
	reason     string
	run        *dottertruth.Run
}

func newAttempt(start dotterattempt.Start, now dotterclock.Millis) *attempt {
	behaviour := ParseBehaviour(start.Payload)
	resumed, _ := strconv.ParseFloat(start.ResumeFrom, 64) // an unknown checkpoint resumes from the beginning
	return &attempt{
		start:      start,
		behaviour:  behaviour,
		used:       behaviour.Use(start.Size),
		work:       float64(behaviour.Work(start)),
		done:       resumed,
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

// advance runs the attempt for span milliseconds.
func (a *attempt) advance(span float64) {
	gained := span / a.slowdown
	a.ran += span
	a.gained += gained
	a.done += gained
}

func (a *attempt) status() dotterattempt.Status {
	return dotterattempt.Status{
		Ref:        a.start.Ref,
		Phase:      a.phase,
		Checkpoint: a.checkpoint,
		Reason:     a.reason,
		RanMillis:  dotterclock.Millis(a.ran),
		Size:       a.start.Size,
	}
}

// meanSlowdown returns the run time over the undisturbed run time so far.
func (a *attempt) meanSlowdown() float64 {
	if a.gained == 0 {
		return 1
	}
	return a.ran / a.gained
}

// latency returns the p99 at a slowdown, or zero when the attempt isn't latency-critical.
func (a *attempt) latency(slowdown float64) float64 {
	if !a.start.Critical {
		return 0
	}
	return a.behaviour.LatencyMillis * slowdown
}

func (a *attempt) usage(now dotterclock.Millis) dotterattempt.Usage {
	progress := 1.0
	if a.work > 0 {
		progress = min(a.done/a.work, 1)
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

// save writes the progress down as the attempt's checkpoint.
func (a *attempt) save() {
	a.checkpoint = strconv.FormatFloat(a.done, 'f', 3, 64)
}
