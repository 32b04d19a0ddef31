package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// TestQuickTasksBesideLongRunningOnes loads a shard with more long-running tasks than fit,
// and with quick jobs that need most of a tenth of its room, and counts the quick ones done
// by their objective.
func TestQuickTasksBesideLongRunningOnes(t *testing.T) {
	const jobs, interval, objective = 30, 250, 1150
	s := newShard(t, 20)
	s.run(200)
	due := map[dotterjob.ID]dotterclock.Millis{}
	lasting := 0
	inTime := 0
	for step := range (jobs*interval + objective) / 10 {
		if step%(interval/10) == 0 && len(due) < jobs {
			due[s.submit(1+len(due), wideStep(3, 600))] = s.clock.Now() + objective
		}
		if step%20 == 0 {
			lasting++
			s.submit(1000+lasting, lastingStep(6))
		}
		s.run(10)
		for id, at := range due {
			if at != 0 && s.state(id) == dotterjob.Completed && s.clock.Now() <= at {
				inTime++
				due[id] = 0
			}
		}
	}
	assert.GreaterOrEqual(t, inTime, jobs*9/10)
	s.requireNoViolations()
}

// TestKeptRoomIsGivenBack checks that long-running tasks get all room, before their users
// would give them up, if no quick task uses it, and that tasks that have run before get it
// at once.
func TestKeptRoomIsGivenBack(t *testing.T) {
	s := newShard(t, 10)
	s.run(200)
	id := s.submit(1, lastingStep(40)) // four fit on a worker
	s.until(3000, func() bool { return len(s.workersOf(id)) == 40 })
	s.pool.Restart("w03")
	s.until(500, func() bool { return len(s.workersOf(id)) == 40 })
	s.requireNoViolations()
}
