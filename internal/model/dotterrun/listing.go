package dotterrun

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Ending is the way in which a run ended.
type Ending string

// The endings of a run.
const (
	Done    Ending = "Done"
	Failed  Ending = "Failed"  // the task or the worker failed
	Stopped Ending = "Stopped" // stopped by an order
	Lapsed  Ending = "Lapsed"  // the worker's lease expired
	Broken  Ending = "Broken"  // another task of its gang ended
	Alone   Ending = "Alone"   // the other tasks of its gang did not start in time
)

// Running is the state of a run that has not ended.
type Running struct {
	Ref
	Checkpoint string
	Progress   int                // percent done; for a long-running task, 100 once it is at work
	Used       int64              // processor use in thousandths of a core; not known for tasks that serve requests
	Tail       dotterclock.Millis // tail latency; known only for tasks that serve requests
}

// End is a run that has ended and whose end is not acknowledged.
type End struct {
	Number     int64 // increases with each end within one incarnation of the worker
	Ref        Ref
	Ending     Ending
	Checkpoint string
}

// Listing is a worker's report on all its runs.
type Listing struct {
	Clock     dotterclock.Millis // worker's clock at the time of the answer
	StartedAt dotterclock.Millis // start time of the worker's incarnation, which identifies it
	Running   []Running
	Ended     []End
	MoreEnds  bool // whether there may be ends after those in Ended
	Refused   Refusal
}
