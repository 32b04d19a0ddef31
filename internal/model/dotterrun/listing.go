package dotterrun

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Ending is how a run ended.
type Ending string

// The endings.
const (
	Done    Ending = "Done"
	Failed  Ending = "Failed"  // by its own fault or the worker's
	Stopped Ending = "Stopped" // by an order
	Lapsed  Ending = "Lapsed"  // the lease ran out
	Broken  Ending = "Broken"  // another member of its gang ended
	Alone   Ending = "Alone"   // its gang did not come together in time
)

// Running is a run that is at work.
type Running struct {
	Ref
	Checkpoint string
	Progress   int                // percent done; of a long-running task 100 once it is at work
	Used       int64              // processor use in thousandths of a core; not known for serving tasks
	Tail       dotterclock.Millis // latency tail; known for serving tasks only
}

// End is a run that has ended and is not acknowledged.
type End struct {
	Number     int64 // rises with each end of one life of the worker
	Ref        Ref
	Ending     Ending
	Checkpoint string
}

// Listing is a worker's account of all its runs.
type Listing struct {
	Clock   dotterclock.Millis // worker's clock when it answered
	Born    dotterclock.Millis // start of the worker's life; differs between two lives
	Running []Running
	Ended   []End
	Refused Refusal
}
