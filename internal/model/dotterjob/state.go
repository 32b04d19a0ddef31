package dotterjob

// State is the state of a job.
type State string

// The states of a job; Completed, Failed and Cancelled are final.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Completed State = "Completed"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether a job in state s never changes state again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
