package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// TestNoJobStarvesOnAnIdlePool is the end of a day whose serving work is mostly gone:
// jobs that harm what is left on every worker wait, and no job may have nothing at
// work for 3 s while most room is free, nor harm serving tasks for long.
func TestNoJobStarvesOnAnIdlePool(t *testing.T) {
	const (
		workers = 4
		longest = 3 * dotterclock.Second
	)
	d := newDisturbed(t, workers, 0.6, map[string]float64{"heavy": 5})
	var ids []dotterjob.ID
	idle := map[dotterjob.ID]dotterclock.Millis{}
	for i := range 6 {
		ids = append(ids, d.submitTo(lowQueue, i+1, fillingOf("heavy", 3, 2000, true)))
	}
	worst := dotterclock.Millis(0)
	for range 400 {
		d.pass(100)
		for _, id := range ids {
			if d.state(id) == dotterjob.Completed || len(d.workersOf(id)) > 0 {
				idle[id] = 0
				continue
			}
			idle[id] += 100
			worst = max(worst, idle[id])
		}
	}
	assert.Less(t, worst, longest)
	assert.Less(t, d.over, testSettings.HarmSpan)
	d.requireNoViolations()
}
