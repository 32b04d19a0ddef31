package dotterboard

import (
	"errors"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// departureRetention is how long a job that has left the shard is remembered. A listing or
// an event of the store that was read before it left is processed within seconds.
const departureRetention = 60 * dotterclock.Second

// departure remembers a job that has left the shard.
type departure struct {
	acceptedAt dotterclock.Millis // tells the job from a later one with its ID
	at         dotterclock.Millis
}

// Exclude removes a job of which something stored cannot be used. Starting it could repeat
// tasks that have run, so it stays as it is stored until somebody mends it.
func (b *Board) Exclude(id dotterjob.ID, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exclude(id, cause)
}

func (b *Board) exclude(id dotterjob.ID, cause error) {
	if b.excluded[id] {
		return
	}
	b.excluded[id] = true
	b.counters.Excluded++
	job := zap.String("Job", string(id))
	var contained *dotterpanic.Error
	if errors.As(cause, &contained) {
		b.logger.Error("job excluded", contained.Fields(job)...)
	} else {
		b.logger.Error("job excluded", job, zap.Error(cause))
	}
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	b.open, b.dirty = deleteJob(b.open, j), deleteJob(b.dirty, j)
	if j.runs == 0 {
		b.removeJob(j)
	} // otherwise its runs hold their room until they have ended
}

// contain calls f, which handles something of the job, and excludes the job if f panics.
// A successor tries once more.
func (b *Board) contain(id dotterjob.ID, f func()) {
	if contained := dotterpanic.Contain(f); contained != nil {
		b.exclude(id, contained)
	}
}

// containShared calls f, which handles something that belongs to no single job.
func (b *Board) containShared(what string, f func()) {
	if contained := dotterpanic.Contain(f); contained != nil {
		b.counters.Panics++
		b.logger.Error("panic contained", contained.Fields(zap.String("In", what))...)
	}
}

// depart forgets a job that has left the shard.
func (b *Board) depart(now dotterclock.Millis, j *job) {
	b.removeJob(j)
	b.departed[j.ID] = departure{acceptedAt: j.AcceptedAt, at: now}
}

// hasDeparted reports whether the job was here and has left.
func (b *Board) hasDeparted(j dotterjob.Job) bool {
	d, ok := b.departed[j.ID]
	return ok && d.acceptedAt == j.AcceptedAt
}

// forgetDepartures forgets the jobs that left and the transfers that were deleted before
// departureRetention.
func (b *Board) forgetDepartures(now dotterclock.Millis) {
	for id, d := range b.departed {
		if now-d.at > departureRetention {
			delete(b.departed, id)
		}
	}
	for key, at := range b.absorbed {
		if at > 0 && now-at > departureRetention {
			delete(b.absorbed, key)
		}
	}
}
