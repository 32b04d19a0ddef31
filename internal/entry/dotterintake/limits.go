package dotterintake

import (
	"math"
	"syscall"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Limits bound what callers hold of a process.
type Limits struct {
	Connections int                // open at a door at a time
	Memory      int64              // for requests that are not answered yet, bytes
	PerByte     int64              // memory that a byte of a request needs while it is read and decoded, bytes
	BodyTime    dotterclock.Millis // longest time for a body
	AnswerTime  dotterclock.Millis // longest time for which a caller accepts nothing of an answer
}

const (
	// connectionBytes is the memory of a connection without what arrives on it: two goroutines,
	// their stacks and buffers. What the garbage collector has not freed yet comes on top.
	connectionBytes = 24 << 10
	// memoryDivisor divides a process's memory: connections may hold the quotient, and requests as much.
	memoryDivisor = 8
	// descriptorDivisor divides a process's descriptors: callers may hold the quotient. The rest is for
	// the store, workers, other hosts and files.
	descriptorDivisor = 3
	// minConnections is the smallest limit of connections that is derived.
	minConnections = 16

	// defaultPerByte covers a buffer that grows by doubling, and the decoded value beside it.
	defaultPerByte = 4
	// defaultBodyTime and defaultAnswerTime bound for how long a caller that stands still is waited for.
	defaultBodyTime   = 60 * dotterclock.Second
	defaultAnswerTime = 30 * dotterclock.Second
)

// LimitsFor returns the limits of a process that may use the memory, in bytes, and the descriptors.
func LimitsFor(memory int64, descriptors int) Limits {
	connections := min(int64(descriptors)/descriptorDivisor, memory/memoryDivisor/connectionBytes)
	return Limits{
		Connections: int(max(minConnections, connections)),
		Memory:      memory / memoryDivisor,
		PerByte:     defaultPerByte,
		BodyTime:    defaultBodyTime,
		AnswerTime:  defaultAnswerTime,
	}
}

// MaxDescriptors returns how many descriptors this process may have open.
func MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
