package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// maxClockReadings is how many workers' clocks date a commit. A successor needs one that it
	// can reach.
	maxClockReadings = 5
	// maxClockJump is the change of the difference between the time of day and the owner's clock
	// above which the owner may have been suspended. It exceeds the time between the reading of both.
	maxClockJump = 200 * dotterclock.Millisecond
)

// predecessor is what a board knows of the owner before its own.
type predecessor struct {
	until    dotterclock.Millis                   // until when it, or an owner before it, may have sent orders
	readings map[string]dotterworker.ClockReading // by worker: not earlier than its last timestamp
	validity dotterclock.Millis                   // for how long after the readings it may have sent orders
}

// minElapsed returns the shortest time on the owner's clock in which a worker's clock may advance by
// duration.
func minElapsed(duration dotterclock.Millis) dotterclock.Millis {
	return dotterclock.Millis(float64(duration) / clockDriftFactor)
}

// SetPredecessorReadings tells the board that no earlier owner sent an order later than validity
// after the clocks of workers showed the readings.
func (b *Board) SetPredecessorReadings(readings []dotterworker.ClockReading, validity dotterclock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.predecessor.readings, b.predecessor.validity = map[string]dotterworker.ClockReading{}, validity
	for _, r := range readings {
		b.predecessor.readings[r.Worker] = r
	}
}

// datePredecessor bounds the end of the previous owner's orders by a worker's clock, which its
// listing shows at now.
func (b *Board) datePredecessor(now dotterclock.Millis, w *worker) {
	r, ok := b.predecessor.readings[w.ID]
	if !ok {
		return
	}
	delete(b.predecessor.readings, w.ID)
	elapsed := minElapsed(w.clock - r.Clock)
	until := now - elapsed + b.predecessor.validity
	if r.StartedAt == 0 || r.StartedAt != w.StartedAt || elapsed < 0 || until >= b.predecessor.until {
		return
	}
	b.logger.Info("end of the previous owner's orders dated by a worker's clock", zap.String("Worker", w.ID), zap.Int64("ElapsedMs", int64(elapsed)),
		zap.Int64("PredecessorEndsInMs", int64(until-now)), zap.Int64("AssumedMs", int64(b.predecessor.until-now)))
	b.predecessor.until = until
}

// ClockReadings returns readings of the clocks of workers in all parts of the shard. None is earlier
// than now; wall is the time of day.
func (b *Board) ClockReadings(now, wall dotterclock.Millis) []dotterworker.ClockReading {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checkSuspension(now, wall)
	var readings []dotterworker.ClockReading
	for part := range maxClockReadings {
		first, end := part*len(b.workersByID)/maxClockReadings, (part+1)*len(b.workersByID)/maxClockReadings
		for _, w := range b.workersByID[first:end] {
			if w.clockKnown && w.StartedAt != 0 && w.unansweredSince == 0 && !w.mayHaveRestarted && now-w.heardAt <= maxListingAge {
				readings = append(readings, dotterworker.ClockReading{Worker: w.ID, StartedAt: w.StartedAt, Clock: now + w.clockAhead})
				break
			}
		}
	}
	return readings
}

// checkSuspension forgets how the workers' clocks differ from the owner's if that may have stood
// still, as it does while a machine is suspended.
func (b *Board) checkSuspension(now, wall dotterclock.Millis) {
	jump := wall - now - b.clockOffset
	b.clockOffset = wall - now
	if jump <= maxClockJump && jump >= -maxClockJump {
		return
	}
	b.clocksFrom = now
	for _, w := range b.workersByID {
		w.clockKnown = false
	}
}

// noteClock bounds from above by how much the worker's clock is ahead of the owner's. The worker
// read it between sentAt and now.
func (w *worker) noteClock(now, sentAt, clock dotterclock.Millis) {
	if !w.clockKnown || clock-now > w.clockAhead {
		w.clockKnown, w.clockAhead = true, clock-sentAt
	}
	w.clockAhead = min(w.clockAhead, clock-sentAt)
}
