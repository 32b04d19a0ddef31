package dotterowner

import (
	"context"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// Handoff finds other shards and passes tasks on to them.
type Handoff interface {
	// Targets returns other shards that may take tasks of shard.
	Targets(shard dottershard.Name) []string

	// Spare returns the room that other shards have free while none of their tasks wait.
	Spare(shard dottershard.Name) map[string]dotterroom.Room

	// Adopt asks the owner of target to log the entries. ErrRefused means that it
	// has not and, unless an earlier call is still under way, will not.
	Adopt(ctx context.Context, target string, entries []dotterrecord.Entry) error

	// Cancel asks the owner of target to cancel tasks that it has taken over.
	Cancel(ctx context.Context, target string, ids []dottertask.ID) error
}

// Options is what an Owner works with.
type Options struct {
	Shard         dottershard.Name
	Writer        string // names this process; no two processes share one
	Store         dotterelusher.Store
	Clock         dotterelusher.Clock
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Workers       dotterelusher.WorkerClient
	Placer        dotterelusher.Placer
	Handoff       Handoff
	Mine          func(worker dotterhost.Host) bool // whether the worker belongs to the shard
	PoolUse       func() PoolUse                    // what the whole pool holds, as last reported
	Logger        *zap.Logger
	Metrics       *Metrics
	Limits        Limits
}

// Limits are an Owner's spans and bounds.
type Limits struct {
	Tick           dotterclock.Millis // between looks at what is due
	CommitInterval dotterclock.Millis // least time between two writes of the log
	StoreTimeout   dotterclock.Millis // of one store call
	CallTimeout    dotterclock.Millis // of one worker call
	Lease          dotterclock.Millis // how long an attempt runs without a renewal
	StartWindow    dotterclock.Millis // how late a start may reach its worker
	ListLag        dotterclock.Millis // most that the host list lags
	UnknownGrace   dotterclock.Millis // how long the result of unrepeatable work on a cut-off worker is waited for
	AnswerWithin   dotterclock.Millis // a submission whose write is unresolved is answered after this
	StrandedAfter  dotterclock.Millis // tasks move when no worker was usable for this long
	MaxQueued          int                // most tasks that wait
	Ahead          int                // most attempts reserved ahead
	LogBytes       int                // submissions are refused while the log is longer
	RingSize       int64              // segments of the log; zero means the log's own
	Ended          int                // ended tasks kept readable; zero means the ledger's own
}

// DefaultLimits returns the limits that fit the platform.
func DefaultLimits() Limits {
	return Limits{
		Tick:           50,
		CommitInterval: 250,
		StoreTimeout:   4 * dotterclock.Second,
		CallTimeout:    2 * dotterclock.Second,
		Lease:          15 * dotterclock.Second,
		StartWindow:    3 * dotterclock.Second,
		ListLag:        10 * dotterclock.Second,
		UnknownGrace:   30 * dotterclock.Second,
		AnswerWithin:   2 * dotterclock.Second,
		StrandedAfter:  15 * dotterclock.Second,
		MaxQueued:          20_000,
		Ahead:          512,
		LogBytes:       32 << 20,
	}
}
