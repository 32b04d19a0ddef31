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

// Handoff finds other shards and transfers tasks to them.
type Handoff interface {
	// Targets returns the shards to which tasks of shard may be moved.
	Targets(shard dottershard.Name) []string

	// IdleCapacity returns the free capacity of the other shards that have no queued tasks.
	IdleCapacity(shard dottershard.Name) map[string]dotterroom.Room

	// Adopt asks the owner of target to log the entries. ErrRefused means that it
	// has not logged them and won't, unless an earlier call is still in flight.
	Adopt(ctx context.Context, target string, entries []dotterrecord.Entry) error

	// Cancel asks the owner of target to cancel tasks that were moved to it.
	Cancel(ctx context.Context, target string, ids []dottertask.ID) error
}

// Options configures an Owner and holds its dependencies.
type Options struct {
	Shard         dottershard.Name
	Writer        string // unique name of this process
	Store         dotterelusher.Store
	Clock         dotterelusher.Clock
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Workers       dotterelusher.WorkerClient
	Placer        dotterelusher.Placer
	Handoff       Handoff
	OwnsWorker    func(worker dotterhost.Host) bool // whether the worker belongs to the shard
	PoolUse       func() PoolUse                    // usage of the whole pool, as last reported
	Logger        *zap.Logger
	Metrics       *Metrics
	Limits        Limits
}

// Limits are the intervals, timeouts and size limits of an Owner.
type Limits struct {
	Tick                dotterclock.Millis // interval at which the loop does what is due
	CommitInterval      dotterclock.Millis // minimum time between two log writes
	StoreTimeout        dotterclock.Millis // of one store call
	CallTimeout         dotterclock.Millis // of one worker call
	LeaseDuration       dotterclock.Millis // how long an attempt runs without a renewal
	StartWindow         dotterclock.Millis // how long after sending a worker may still accept a start
	ListLag             dotterclock.Millis // maximum lag of the host list
	UnknownOutcomeGrace dotterclock.Millis // after its lease has expired, how long a non-repeatable attempt on an unreachable worker may still report its outcome
	AnswerTimeout       dotterclock.Millis // time after which callers that wait for an unresolved write get ErrUnknown
	NoWorkerTimeout     dotterclock.Millis // tasks are moved to other shards when no worker was usable for this long
	MaxQueued           int                // maximum number of queued tasks
	MaxPreassigned      int                // maximum number of preassigned attempts
	MaxLogBytes         int                // submissions are refused while the log is longer than this
	RingSegments        int64              // segments of the log; 0 means the default of dottershardlog
	MaxEnded            int                // ended tasks that stay readable; 0 means the default of dotterledger
}

// DefaultLimits returns limits that suit the platform.
func DefaultLimits() Limits {
	return Limits{
		Tick:                50,
		CommitInterval:      250,
		StoreTimeout:        4 * dotterclock.Second,
		CallTimeout:         2 * dotterclock.Second,
		LeaseDuration:       15 * dotterclock.Second,
		StartWindow:         3 * dotterclock.Second,
		ListLag:             10 * dotterclock.Second,
		UnknownOutcomeGrace: 30 * dotterclock.Second,
		AnswerTimeout:       2 * dotterclock.Second,
		NoWorkerTimeout:     15 * dotterclock.Second,
		MaxQueued:           20_000,
		MaxPreassigned:      512,
		MaxLogBytes:         32 << 20,
	}
}
