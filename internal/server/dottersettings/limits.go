package dottersettings

import (
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterintake"
)

const (
	// memoryLimitPercent is the part of the process's memory from which the Go runtime collects garbage
	// continuously. The rest is for memory that the runtime does not count.
	memoryLimitPercent = 60
	// requestDivisor divides the memory: callers' requests may hold the quotient. The proxy
	// keeps a body until the request is answered.
	requestDivisor = 4
	// bodyCopies is the memory that a byte of a body takes: its buffer grows with what arrives.
	bodyCopies = 2
	// bodiesAtLeast is how many bodies of the largest size there is always memory for.
	bodiesAtLeast = 2
)

// Limits bounds the daemon's queues, request bodies and store calls.
type Limits struct {
	MaxBodyKB            int // size of a caller's request body, in KB
	MaxQueue             int // requests waiting for a slot, per template
	StoreReadsPerSecond  int // rate of store reads of this process
	StoreWritesPerSecond int // rate of store writes of this process
	MaxQueuedTasks       int // tasks waiting in one shard
	MemoryMB             int // memory of the process, in MB
	MaxConnections       int // callers' connections; 0 derives it from the memory and the descriptors of the process
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyKB:            1024,
		MaxQueue:             256,
		StoreReadsPerSecond:  80,
		StoreWritesPerSecond: 40,
		MaxQueuedTasks:       20000,
		MemoryMB:             160,
	}
}

func (l Limits) check(c *dottercheck.Checker) {
	dottercheck.Range(c, "/Limits/MaxBodyKB", l.MaxBodyKB, 1, 65536, "KB")
	dottercheck.Range(c, "/Limits/MaxQueue", l.MaxQueue, 1, 100000, "requests")
	dottercheck.Range(c, "/Limits/StoreReadsPerSecond", l.StoreReadsPerSecond, 1, 10000, "reads a second")
	dottercheck.Range(c, "/Limits/StoreWritesPerSecond", l.StoreWritesPerSecond, 1, 10000, "writes a second")
	dottercheck.Range(c, "/Limits/MaxQueuedTasks", l.MaxQueuedTasks, 1, 1000000, "tasks")
	dottercheck.Range(c, "/Limits/MemoryMB", l.MemoryMB, 64, 1<<20, "MB")
	if least := l.MaxBodyKB * bodyCopies * bodiesAtLeast * requestDivisor >> 10; l.MemoryMB < least {
		c.Fail("/Limits/MemoryMB", fmt.Sprintf("%d MB is too little for bodies of %d KB, at least %d are needed", l.MemoryMB, l.MaxBodyKB, least))
	}
	dottercheck.Range(c, "/Limits/MaxConnections", l.MaxConnections, 0, 1000000, "connections")
}

// RuntimeMemory returns the memory limit of the Go runtime, in bytes.
func (l Limits) RuntimeMemory() int64 {
	return int64(l.MemoryMB) << 20 * memoryLimitPercent / 100
}

// Intake returns the limits of what callers hold.
func (s Settings) Intake() dotterintake.Limits {
	memory := int64(s.Limits.MemoryMB) << 20
	l := dotterintake.LimitsFor(memory, dotterintake.MaxDescriptors())
	l.Memory, l.PerByte, l.BodyTime = memory/requestDivisor, bodyCopies, s.Timing.BodyMillis
	if s.Limits.MaxConnections > 0 {
		l.Connections = s.Limits.MaxConnections
	}
	return l
}
