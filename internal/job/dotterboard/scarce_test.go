package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// TestLightImagesMakeWay is the load of the larger sites: some filling images harm most
// serving images and fit beside few of them, others fit anywhere. Where the former
// wait, the latter take the workers that only they can use.
func TestLightImagesMakeWay(t *testing.T) {
	const workers = 12
	d := newDisturbed(t, 0, 0, map[string]float64{"picky": 4, "picky/tolerant": 0, "light": 0})
	for i := range workers {
		d.pool.Add(testWorker(i))
	}
	d.run(300)
	tolerant := d.submit(1, servingOf("tolerant", 12))
	d.run(100)
	d.submit(2, servingOf("sensitive", 36))
	d.run(300)
	d.users = func(id dotterjob.ID, _ dotterclock.Millis) float64 {
		if id == tolerant {
			return 0.35 // so that light work would rather go there
		}
		return 0.5
	}
	d.pass(2000)
	const objective = 5000 * dotterclock.Millisecond // twice their run time and a second
	due := map[dotterjob.ID]dotterclock.Millis{}
	jobs, inTime := 0, 0
	for i := range 50 {
		if i < 40 {
			d.submitTo(lowQueue, 100+i, fillingOf("light", 10, 2000, true))
			if i >= 5 {
				due[d.submitTo(lowQueue, 200+i, fillingOf("picky", 4, 2000, true))] = d.clock.Now() + objective
			}
		}
		d.pass(500)
		for id, at := range due {
			if d.state(id) == dotterjob.Completed || d.clock.Now() >= at {
				jobs++
				if d.state(id) == dotterjob.Completed {
					inTime++
				}
				delete(due, id)
			}
		}
	}
	t.Logf("%d of %d picky jobs are in time, harmed for %d of %d ms", inTime, jobs, d.harmed, d.served)
	assert.Equal(t, 35, jobs)
	assert.GreaterOrEqual(t, float64(inTime), 0.9*float64(jobs))
	assert.Less(t, 4*float64(d.harmed), 0.01*float64(d.served))
	d.kept()
}
