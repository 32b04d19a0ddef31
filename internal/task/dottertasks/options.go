package dottertasks

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
)

// Options configures a Service.
type Options struct {
	Host          string // this entry host
	FailureDomain string // of this entry host
	Incarnation   int64  // of this process; differs from those of the host's earlier processes
	Store         dotterelusher.Store
	Peers         dotterelusher.Peers
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Workers       dotterelusher.WorkerClient
	Clock         dotterelusher.Clock
	NewPlacer     func() dotterelusher.Placer // called for each shard
	Logger        *zap.Logger
	Registerer    prometheus.Registerer
	Limits        dotterowner.Limits
	Timing        Timing
}

// Timing holds the intervals, delays and timeouts of a Service.
type Timing struct {
	ReconcileInterval  dotterclock.Millis // between two passes of the loop
	StoreLeaseDuration dotterclock.Millis // duration of the lease on this host's owner keys
	RankDelay          dotterclock.Millis // before a vacant shard is claimed, for each host that ranks higher
	DomainDelay        dotterclock.Millis // before a vacant shard of another failure domain is claimed, in addition
	RebalanceDelay     dotterclock.Millis // before a shard is released to a host that is preferred as its owner
	CallTimeout        dotterclock.Millis // of a call to another entry host
	UseInterval        dotterclock.Millis // between two requests to peers for the use of their shards
	RefusedRetry       dotterclock.Millis // shortest time after which to repeat a refused submission
	LayoutInterval     dotterclock.Millis // between two reads of the layouts
}

// DefaultTiming returns the default timing for the platform.
func DefaultTiming() Timing {
	return Timing{
		ReconcileInterval:  dotterclock.Second,
		StoreLeaseDuration: 5 * dotterclock.Second,
		RankDelay:          1500,
		DomainDelay:        10 * dotterclock.Second,
		RebalanceDelay:     10 * dotterclock.Second,
		CallTimeout:        4 * dotterclock.Second,
		UseInterval:        dotterclock.Second,
		RefusedRetry:       dotterclock.Second,
		LayoutInterval:     5 * dotterclock.Second,
	}
}
