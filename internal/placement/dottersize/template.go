package dottersize

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// template holds the distributions learned of one template, and the quantiles
// computed from them.
type template struct {
	cores, memory, runTimes *generations
	room                    dotterroom.Room
	runTime                 dotterclock.Millis
	referenced              bool // since the clock hand last passed
}

func newTemplate() *template {
	return &template{
		cores:    newGenerations(maxMilliCores),
		memory:   newGenerations(maxMemoryMB),
		runTimes: newGenerations(int64(maxRunMillis)),
	}
}

func (t *template) addPeak(peak dotterroom.Room) {
	t.cores.add(peak.MilliCores)
	t.memory.add(peak.MemoryMB)
	t.room.Accelerators = max(t.room.Accelerators, peak.Accelerators)
	if t.cores.count() < minSamples {
		return
	}
	t.room.MilliCores = t.cores.quantile(roomPercentile)
	t.room.MemoryMB = t.memory.quantile(roomPercentile)
}

func (t *template) addRunTime(runTime dotterclock.Millis) {
	t.runTimes.add(int64(runTime))
	if t.runTimes.count() >= minSamples {
		t.runTime = dotterclock.Millis(t.runTimes.quantile(runPercentile))
	}
}
