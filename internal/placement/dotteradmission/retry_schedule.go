package dotteradmission

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay that refused callers are told to wait. The
	// backlog of a burst is gone within a minute, and what comes after it is not known.
	minRetryAfter = dotterclock.Second
	maxRetryAfter = 60 * dotterclock.Second
	// maxStretch bounds the ratio of the time between two returns to the time between the two
	// refusals. Bursts of several times what the workers can do were seen.
	maxStretch = 4
)

// RetrySchedule computes when refused callers are to try again. Within a lane, those refused first
// return first, and later ones as far apart as they were refused, or further the more the
// lane is overloaded: a backlog that drains makes the waits of later callers shorter, so that
// all would return at the instant at which it is gone. It is not safe for concurrent use.
type RetrySchedule struct {
	lanes map[Lane]lastRefusal
}

// lastRefusal is the last refusal of a lane.
type lastRefusal struct {
	refusedAt dotterclock.Millis
	returnAt  dotterclock.Millis
}

// NewRetrySchedule returns a RetrySchedule without refusals.
func NewRetrySchedule() *RetrySchedule {
	return &RetrySchedule{lanes: map[Lane]lastRefusal{}}
}

// Next returns, in whole seconds, after how long the caller of a job that was refused at now is
// to try again.
func (r *RetrySchedule) Next(now dotterclock.Millis, d Decision) dotterclock.Millis {
	earliest := now + d.RetryIn()
	if last, ok := r.lanes[d.Lane]; ok && last.returnAt > now {
		stretch := min(maxStretch, max(1, float64(d.Wait)/float64(max(1, d.Limit))))
		gap := dotterclock.Millis(stretch * float64(now-last.refusedAt))
		earliest = max(earliest, last.returnAt+gap)
	}
	delay := (earliest - now + dotterclock.Second - 1) / dotterclock.Second * dotterclock.Second
	delay = min(maxRetryAfter, max(minRetryAfter, delay))
	for lane, last := range r.lanes {
		if last.returnAt <= now {
			delete(r.lanes, lane)
		}
	}
	r.lanes[d.Lane] = lastRefusal{refusedAt: now, returnAt: now + delay}
	return delay
}
