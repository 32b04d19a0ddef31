package dottersettings

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Timing holds the daemon's lease lengths and time limits, in milliseconds.
type Timing struct {
	StoreLeaseMillis  dotterclock.Millis // length of the store lease on this host's membership and shards
	HostListLagMillis dotterclock.Millis // maximum lag of the platform's host list
	WorkerLeaseMillis dotterclock.Millis // length of an attempt's lease on a worker
	DrainMillis       dotterclock.Millis // how long a graceful shutdown waits for requests in progress
	BodyMillis        dotterclock.Millis // longest time for the body of a request
}

func defaultTiming() Timing {
	return Timing{
		StoreLeaseMillis:  10000,
		HostListLagMillis: 30000,
		WorkerLeaseMillis: 10000,
		DrainMillis:       30000,
		BodyMillis:        60000,
	}
}

func (t Timing) check(c *dottercheck.Checker) {
	dottercheck.Range(c, "/Timing/StoreLeaseMillis", t.StoreLeaseMillis, 500, 60000, "ms")
	dottercheck.Range(c, "/Timing/HostListLagMillis", t.HostListLagMillis, 100, 600000, "ms")
	dottercheck.Range(c, "/Timing/WorkerLeaseMillis", t.WorkerLeaseMillis, 1000, 600000, "ms")
	dottercheck.Range(c, "/Timing/DrainMillis", t.DrainMillis, 0, 3600000, "ms")
	dottercheck.Range(c, "/Timing/BodyMillis", t.BodyMillis, 100, 3600000, "ms")
}
