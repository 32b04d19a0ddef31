package dotterstandworker

import (
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// baseLatencyMillis is the default p99 latency of a latency-critical attempt without interference.
const baseLatencyMillis = 10

// Behaviour is the simulated behaviour of a task, as its payload describes it. A
// payload consists of words separated by spaces: Fail, MilliCores=8000,
// MemoryMB=16000, RunTimes=0.5 and LatencyMillis=20. Other words are ignored.
//
// The actual usage is an absolute amount and not a factor of the size in the start
// command: an owner that has learned the usage reserves that much, so a factor
// would make the task grow with each start.
type Behaviour struct {
	Fail          bool
	MilliCores    int64   // actual usage; 0 means the reserved size
	MemoryMB      int64   // actual usage; 0 means the reserved size
	RunTimeFactor float64 // actual run time divided by the declared run time
	LatencyMillis float64 // p99 latency without interference
}

// ParseBehaviour parses the payload of a task.
func ParseBehaviour(payload string) Behaviour {
	b := Behaviour{RunTimeFactor: 1, LatencyMillis: baseLatencyMillis}
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
			b.RunTimeFactor = value
		case name == "LatencyMillis" && number:
			b.LatencyMillis = value
		}
	}
	return b
}

// Work returns the total run time that the attempt's task needs without interference.
func (b Behaviour) Work(start dotterattempt.Start) dotterclock.Millis {
	return dotterclock.Millis(float64(start.RunMillis) * b.RunTimeFactor)
}

// Use returns the actual resource usage of an attempt for which size is reserved.
func (b Behaviour) Use(size dotterroom.Room) dotterroom.Room {
	if b.MilliCores > 0 {
		size.MilliCores = b.MilliCores
	}
	if b.MemoryMB > 0 {
		size.MemoryMB = b.MemoryMB
	}
	return size
}
