package dotterrun

import (
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Ref names one run of a task.
type Ref struct {
	Task dotterjob.TaskID
	Run  int // from 1
}

// Start tells a worker to begin a run.
type Start struct {
	Ref
	Epoch  int64
	Until  dotterclock.Millis // lease, on the worker's clock; the start is refused after it
	Spec   string
	Resume string // checkpoint to resume from; empty: none
	Ticket string // admission ticket, where the queue's policy asks for one
}

// Order tells a worker to do something with a run.
type Order struct {
	Ref
	Epoch   int64
	Percent int // pace only: share of its work that the run may do, 0 to 100
}

// Renewal renews the lease of all that runs on a worker and asks for its listing.
type Renewal struct {
	Epoch             int64
	Until             dotterclock.Millis // on the worker's clock; 0: the lease is left as it is
	AcknowledgedUntil int64              // ends up to this number are forgotten
	Wait              dotterclock.Millis // how long the worker may wait for an end before it answers
}

// Refusal is why a worker did not carry out an order; it then took no effect.
type Refusal string

// The refusals.
const (
	NotRefused         Refusal = ""
	RefusedEpoch       Refusal = "Epoch"   // a higher epoch was seen
	RefusedOld         Refusal = "Old"     // this run or a later one was stopped or has ended there
	RefusedLate        Refusal = "Late"    // after Until
	RefusedRoom        Refusal = "Room"    // does not fit
	RefusedTicket      Refusal = "Ticket"  // ticket missing or outdated
	RefusedIncarnation Refusal = "Life"    // another incarnation runs there
	RefusedBusy        Refusal = "Busy"    // the worker is unhealthy
	RefusedInvalid     Refusal = "Invalid" // the order makes no sense to the worker
)

// Answer is a worker's answer to a start or an order.
type Answer struct {
	Clock   dotterclock.Millis // worker's clock when it answered; 0: not told
	Refused Refusal
}

// StepRef names one step of one occurrence of a job.
type StepRef struct {
	Job        dotterjob.ID
	Occurrence int
	Step       int
}

// String returns the parts joined by dots.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Advice is a policy's answer on a step.
type Advice struct {
	Tickets map[string]string  // by worker that may run the step
	Valid   dotterclock.Millis // how long the tickets hold
}
