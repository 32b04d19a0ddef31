package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// TestNoJobStarvesOnAnIdlePool guards against jobs that wait without end because they
// would interfere on every worker, on a pool whose serving work is mostly gone. No job
// may have nothing running for 3 s, and no serving task may be over its target for
// MaxOverTarget.
func TestNoJobStarvesOnAnIdlePool(t *testing.T) {
	const (
		workers = 4
		longest = 3 * dotterclock.Second
	)
	s := newLoadedShard(t, workers, 0.6, map[string]float64{"heavy": 5})
	var ids []dotterjob.ID
	idle := map[dotterjob.ID]dotterclock.Millis{}
	for i := range 6 {
		ids = append(ids, s.submitTo(lowQueue, i+1, fillingStep("heavy", 3, 2000, true)))
	}
	worst := dotterclock.Millis(0)
	for range 400 {
		s.runLoaded(100)
		for _, id := range ids {
			if s.state(id) == dotterjob.Completed || len(s.workersOf(id)) > 0 {
				idle[id] = 0
				continue
			}
			idle[id] += 100
			worst = max(worst, idle[id])
		}
	}
	assert.Less(t, worst, longest)
	assert.Less(t, s.longestOver, testSettings.MaxOverTarget)
	s.requireNoViolations()
}
