package dotterstandworker

import (
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// baseLatency is the p99 of an undisturbed latency-critical attempt, in milliseconds.
const baseLatency = 10

// Behaviour is what a task's payload says about its true nature: words such as
// Fail, MilliCores=8000, MemoryMB=16000, RunTimes=0.5 and LatencyMillis=20,
// separated by spaces. Other words mean nothing.
//
// The true use is stated as it is and not as a factor on the size that a start
// carries: an owner that has learned the use holds room for it, and a factor
// would make the task grow with each start.
type Behaviour struct {
	Fail          bool
	MilliCores    int64   // true use; 0 means the size held for it
	MemoryMB      int64   // true use; 0 means the size held for it
	RunTimes      float64 // true run time over the declared
	LatencyMillis float64 // undisturbed p99
}

// ParseBehaviour reads a payload.
func ParseBehaviour(payload string) Behaviour {
	b := Behaviour{RunTimes: 1, LatencyMillis: baseLatency}
	for _, word := range strings.Fields(payload) {
		name, text, _ := strings.Cut(word, "=")
		value, err := strconv.ParseFloat(text, 64)
		number := err == nil && value > 0
		switch {
		case word == "Fail":
			b.Fail = true
		case name == "MilliCores" && number:
			b.MilliCores = int64(value)
		case name == "MemoryMB" && number:
			b.MemoryMB = int64(value)
		case name == "RunTimes" && number:
			b.RunTimes = value
		case name == "LatencyMillis" && number:
			b.LatencyMillis = value
		}
	}
	return b
}

// Work returns how much undisturbed work the attempt's task needs in all.
func (b Behaviour) Work(start dotterattempt.Start) dotterclock.Millis {
	return dotterclock.Millis(float64(start.RunMillis) * b.RunTimes)
}

// Use returns the true use of an attempt for which size is held.
func (b Behaviour) Use(size dotterroom.Room) dotterroom.Room {
	if b.MilliCores > 0 {
		size.MilliCores = b.MilliCores
	}
	if b.MemoryMB > 0 {
		size.MemoryMB = b.MemoryMB
	}
	return size
}
