package dottertasks

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
)

// Options is what a Service works with.
type Options struct {
	Host          string // this entry host
	FailureDomain string // of this entry host
	Incarnation   int64  // of this process; differs from that of every earlier one of the host
	Store         dotterelusher.Store
	Peers         dotterelusher.Peers
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Workers       dotterelusher.WorkerClient
	Clock         dotterelusher.Clock
	NewPlacer     func() dotterelusher.Placer // one for each shard
	Logger        *zap.Logger
	Registerer    prometheus.Registerer
	Limits        dotterowner.Limits
	Timing        Timing
}

// Timing holds a Service's periods and spans.
type Timing struct {
	ReconcileInterval dotterclock.Millis // between two looks at the shards
	StoreLease        dotterclock.Millis // on this host's shards
	RankWait          dotterclock.Millis // a vacant shard is claimed after this for each host that comes before
	DomainWait        dotterclock.Millis // a vacant shard of another failure domain is claimed after this
	RebalanceDelay    dotterclock.Millis // a shard goes to the host that should own it after this
	CallTimeout       dotterclock.Millis // of a call to another entry host
	UseInterval       dotterclock.Millis // between two questions to a peer for what its shards hold
	RefusedRetry      dotterclock.Millis // when a refused submission is worth repeating
	LayoutInterval    dotterclock.Millis // between two reads of the layouts
}

// DefaultTiming returns the periods that fit the platform.
func DefaultTiming() Timing {
	return Timing{
		ReconcileInterval: dotterclock.Second,
		StoreLease:        5 * dotterclock.Second,
		RankWait:          1500,
		DomainWait:        10 * dotterclock.Second,
		RebalanceDelay:    10 * dotterclock.Second,
		CallTimeout:       4 * dotterclock.Second,
		UseInterval:       dotterclock.Second,
		RefusedRetry:      dotterclock.Second,
		LayoutInterval:    5 * dotterclock.Second,
	}
}
