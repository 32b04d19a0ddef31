package dottersize

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// template is what is learned of one template, with its answers kept ready.
type template struct {
	cores, memory, runs *generations
	room                dotterroom.Room
	run                 dotterclock.Millis
	touched             bool // since the replacing hand passed last
}

func newTemplate() *template {
	return &template{
		cores:  newGenerations(largestCores),
		memory: newGenerations(largestMemory),
		runs:   newGenerations(int64(largestRun)),
	}
}

func (t *template) addPeak(peak dotterroom.Room) {
	t.cores.add(peak.MilliCores)
	t.memory.add(peak.MemoryMB)
	t.room.Accelerators = max(t.room.Accelerators, peak.Accelerators)
	if t.cores.count() < fewestSamples {
		return
	}
	t.room.MilliCores = t.cores.quantile(roomPercentile)
	t.room.MemoryMB = t.memory.quantile(roomPercentile)
}

func (t *template) addRun(span dotterclock.Millis) {
	t.runs.add(int64(span))
	if t.runs.count() >= fewestSamples {
		t.run = dotterclock.Millis(t.runs.quantile(runPercentile))
	}
}
