package dottersettings

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Timing holds the daemon's periods and spans, all in milliseconds.
type Timing struct {
	HeartbeatMillis    dotterclock.Millis // between heartbeats to a peer
	StoreLeaseMillis   dotterclock.Millis // lease on this host's membership and shards
	HostListPollMillis dotterclock.Millis // between reads of the host list
	HostListLagMillis  dotterclock.Millis // most by which the platform's host list lags
	WorkerLeaseMillis  dotterclock.Millis // lease of an attempt on a worker
	DrainMillis        dotterclock.Millis // most that a graceful shutdown waits for requests in progress
}

func defaultTiming() Timing {
	return Timing{
		HeartbeatMillis:    500,
		StoreLeaseMillis:   5000,
		HostListPollMillis: 1000,
		HostListLagMillis:  5000,
		WorkerLeaseMillis:  10000,
		DrainMillis:        30000,
	}
}

func (t Timing) check(c *dottercheck.Checker) {
	dottercheck.Range(c, "/Timing/HeartbeatMillis", t.HeartbeatMillis, 50, 5000, "ms")
	dottercheck.Range(c, "/Timing/StoreLeaseMillis", t.StoreLeaseMillis, 500, 60000, "ms")
	dottercheck.Range(c, "/Timing/HostListPollMillis", t.HostListPollMillis, 100, 10000, "ms")
	dottercheck.Range(c, "/Timing/HostListLagMillis", t.HostListLagMillis, 100, 600000, "ms")
	dottercheck.Range(c, "/Timing/WorkerLeaseMillis", t.WorkerLeaseMillis, 1000, 600000, "ms")
	dottercheck.Range(c, "/Timing/DrainMillis", t.DrainMillis, 0, 3600000, "ms")
}
