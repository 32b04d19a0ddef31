package dottersettings

import "github.com/dotterelusher/dotterelusher/internal/base/dottercheck"

// Limits bounds the daemon's queues, request bodies and store calls.
type Limits struct {
	MaxBodyKB            int // size of a caller's request body, in KB
	MaxQueue             int // requests waiting for a slot, per template
	StoreReadsPerSecond  int // rate of store reads of this process
	StoreWritesPerSecond int // rate of store writes of this process
	MaxQueuedTasks       int // tasks waiting in one shard
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyKB:            1024,
		MaxQueue:             256,
		StoreReadsPerSecond:  80,
		StoreWritesPerSecond: 40,
		MaxQueuedTasks:       20000,
	}
}

func (l Limits) check(c *dottercheck.Checker) {
	dottercheck.Range(c, "/Limits/MaxBodyKB", l.MaxBodyKB, 1, 65536, "KB")
	dottercheck.Range(c, "/Limits/MaxQueue", l.MaxQueue, 1, 100000, "requests")
	dottercheck.Range(c, "/Limits/StoreReadsPerSecond", l.StoreReadsPerSecond, 1, 10000, "reads a second")
	dottercheck.Range(c, "/Limits/StoreWritesPerSecond", l.StoreWritesPerSecond, 1, 10000, "writes a second")
	dottercheck.Range(c, "/Limits/MaxQueuedTasks", l.MaxQueuedTasks, 1, 1000000, "tasks")
}
