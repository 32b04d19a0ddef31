package dotterrun

import (
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Ref identifies one run of a task.
type Ref struct {
	Task dotterjob.TaskID
	Run  int // numbered from 1
}

// Start orders a worker to start a run.
type Start struct {
	Ref
	Epoch  int64
	Until  dotterclock.Millis // expiry of the lease on the worker's clock; the worker refuses the start after it
	Spec   string
	Resume string // checkpoint to resume from; empty if none
	Ticket string // admission ticket, if the queue has an admission policy
}

// Order is an order to stop or pace a run.
type Order struct {
	Ref
	Epoch   int64
	Percent int // pace only: percentage of its full rate at which the run may work, 0 to 100
}

// Renewal renews a worker's lease and requests its listing.
type Renewal struct {
	Epoch             int64
	Until             dotterclock.Millis // new expiry on the worker's clock; 0 leaves the lease unchanged
	AcknowledgedUntil int64              // the worker discards ends up to this number
	Wait              dotterclock.Millis // how long the worker may wait for a run to end before it answers
}

// Refusal is the reason why a worker refused an order. A refused order has no effect.
type Refusal string

// The reasons for a refusal.
const (
	NotRefused         Refusal = ""
	RefusedEpoch       Refusal = "Epoch"   // the worker has seen a higher epoch
	RefusedOld         Refusal = "Old"     // this run or a later run of the task was stopped or has ended on the worker
	RefusedLate        Refusal = "Late"    // the order arrived after Until
	RefusedRoom        Refusal = "Room"    // the run does not fit
	RefusedTicket      Refusal = "Ticket"  // the ticket is missing or outdated
	RefusedIncarnation Refusal = "Life"    // the worker is another incarnation
	RefusedBusy        Refusal = "Busy"    // the worker is unhealthy
	RefusedInvalid     Refusal = "Invalid" // the worker considers the order invalid
)

// Answer is a worker's answer to a start or an order.
type Answer struct {
	Clock   dotterclock.Millis // worker's clock at the time of the answer; 0 if not reported
	Refused Refusal
}

// StepRef identifies one step of one occurrence of a job.
type StepRef struct {
	Job        dotterjob.ID
	Occurrence int
	Step       int
}

// String returns the job, occurrence and step, joined by dots.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Advice is an admission policy's answer for a step.
type Advice struct {
	Tickets map[string]string  // by ID of the workers that may run the step
	Valid   dotterclock.Millis // how long the tickets are valid
}
