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
// Fail, UseTimes=3, RunTimes=0.5 and LatencyMillis=20, separated by spaces.
// Other words mean nothing.
type Behaviour struct {
	Fail          bool
	UseTimes      float64 // true use of processors and memory over the declared
	RunTimes      float64 // true run time over the declared
	LatencyMillis float64 // undisturbed p99
}

// ParseBehaviour reads a payload.
func ParseBehaviour(payload string) Behaviour {
	b := Behaviour{UseTimes: 1, RunTimes: 1, LatencyMillis: baseLatency}
	for _, word := range strings.Fields(payload) {
		name, text, _ := strings.Cut(word, "=")
		value, err := strconv.ParseFloat(text, 64)
		number := err == nil && value > 0
		switch {
		case word == "Fail":
			b.Fail = true
		case name == "UseTimes" && number:
			b.UseTimes = value
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

// Use returns the true use of an attempt of the declared size.
func (b Behaviour) Use(size dotterroom.Room) dotterroom.Room {
	size.MilliCores = int64(float64(size.MilliCores) * b.UseTimes)
	size.MemoryMB = int64(float64(size.MemoryMB) * b.UseTimes)
	return size
}
