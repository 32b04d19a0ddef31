package dotterjob

// State is how far a job has come.
type State string

// The states of a job; Completed, Failed and Cancelled are final.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Completed State = "Completed"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
