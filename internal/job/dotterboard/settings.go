package dotterboard

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Settings holds the durations and factors that the platform guarantees or requires.
type Settings struct {
	LeaseDuration     dotterclock.Millis // longest lease of the runs on a worker
	MaxOverTarget     dotterclock.Millis // longest time that a serving task's tail latency may exceed its target
	RetentionDuration dotterclock.Millis // how long a job stays visible after its final state
	DirectoryGrace    dotterclock.Millis // how long a live worker may be missing from the directory
	CancellationDelay dotterclock.Millis // longest time from the cancellation of a job until none of its tasks starts any more; 0: defaultCancellationDelay
	RemoteSlowdown    float64            // run time off the data's rack divided by the run time on it
	LookAhead         bool               // whether room is reserved for large tasks that small ones would keep waiting
	MaxJobBytes       int64              // memory that the jobs of a shard may hold before new ones are refused, bytes; 0: no limit
	Admission         bool               // whether an outlook is published, by which hosts refuse jobs under overload

	StopDelay          dotterclock.Millis // longest time from a stop order until the run's room is free
	RestoreDelay       dotterclock.Millis // longest time that a run needs before it continues from a checkpoint
	CheckpointInterval dotterclock.Millis // longest time between two checkpoints of a run; 0: unknown
	WeighStops         bool               // whether filling tasks beside serving ones are slowed down where a stop costs more; see dotterrelief.ByCost
	RestartServing     bool               // whether serving tasks that lost their worker restart before other tasks, and spread; see dotterrelief.Restart
}

const (
	// clockDriftFactor is the most real time per unit of time on a worker's clock, which
	// may run 2% slow.
	clockDriftFactor = 1.0 / 0.98
	// startValidity is how long a start order stays valid. It is short, so that an order
	// that arrives late is refused, and well above the round trip of a healthy link.
	startValidity = 1000 * dotterclock.Millisecond
	// maxListingAge is the age up to which a worker's listing permits new starts: it covers
	// a renewal for which the worker waits as long as it may, and the answer.
	maxListingAge = 2500 * dotterclock.Millisecond
	// maxDirectoryAge is the age up to which the directory permits new starts. It covers a watch
	// that waits as long as it may; together with startValidity it is below the time for which
	// the platform still allows starts by a capacity that has shrunk.
	maxDirectoryAge = 3000 * dotterclock.Millisecond
	// defaultCancellationDelay is the CancellationDelay of a platform that does not tell it.
	defaultCancellationDelay = 3000 * dotterclock.Millisecond
	// minCancellationAge is the least age of the cancellations that permits new starts. It covers a
	// watch that waits as long as it may, and its answer.
	minCancellationAge = 1500 * dotterclock.Millisecond
	// leaseExpiryMargin covers the granularity of the owner's and the worker's clock.
	leaseExpiryMargin = 100 * dotterclock.Millisecond
)

// maxCancellationAge returns the age up to which the cancellations permit new starts. A start order
// takes effect within startValidity.
func (s Settings) maxCancellationAge() dotterclock.Millis {
	delay := s.CancellationDelay
	if delay == 0 {
		delay = defaultCancellationDelay
	}
	return max(minCancellationAge, delay-startValidity)
}
