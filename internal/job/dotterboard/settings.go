package dotterboard

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Settings are the spans that the platform promises or asks for.
type Settings struct {
	LeaseSpan      dotterclock.Millis // longest lease of what runs on a worker
	StopSpan       dotterclock.Millis // longest time that a stop takes
	MaxOverTarget       dotterclock.Millis // longest time that a serving task may be over its target
	RetainSpan     dotterclock.Millis // how long a final job is shown
	DirectoryGrace     dotterclock.Millis // how soon a worker's lapsed directory entry is back if it lives
	RemoteSlowdown float64            // run time away from the data's rack over that on it
}

const (
	// clockSlack is how much longer a span lasts on a worker's clock, which may be 2% slow.
	clockSlack = 1.0 / 0.98
	// startSpan is how long a start order stays valid. It is short, so that an order
	// that arrives late is refused, and far above the round trip of a healthy link.
	startSpan = 1000 * dotterclock.Millisecond
	// heardSpan is how fresh a worker's listing must be for new starts: one waiting
	// renewal and its answer.
	heardSpan = 2500 * dotterclock.Millisecond
	// lapseMargin covers the granularity of both clocks.
	lapseMargin = 100 * dotterclock.Millisecond
)
