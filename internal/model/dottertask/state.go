package dottertask

// State is the state of a task.
type State string

// The states of a task; Done, Failed, Cancelled and OutcomeUnknown are final.
const (
	StateQueued         State = "Queued"
	StateAssigned       State = "Assigned" // an attempt is logged, but its start is not confirmed
	StateRunning        State = "Running"
	StateEvicting       State = "Evicting" // the worker was told to checkpoint and stop
	StateMoved          State = "Moved"    // the task was moved to another shard
	StateDone           State = "Done"
	StateFailed         State = "Failed"
	StateCancelled      State = "Cancelled"
	StateOutcomeUnknown State = "OutcomeUnknown"
)

// Final reports whether a task in state s never changes again.
func (s State) Final() bool {
	switch s {
	case StateDone, StateFailed, StateCancelled, StateOutcomeUnknown:
		return true
	}
	return false
}
