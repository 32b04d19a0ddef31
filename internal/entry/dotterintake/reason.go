package dotterintake

// Reason is why a caller is refused or closed.
type Reason string

// Reasons.
const (
	ReasonConnections Reason = "Connections" // the door has its limit of connections
	ReasonMemory      Reason = "Memory"      // requests hold the memory that they may hold
	ReasonLate        Reason = "Late"        // the body did not arrive in time
	ReasonIncomplete  Reason = "Incomplete"  // the body is malformed or its connection broke
	ReasonTooLarge    Reason = "TooLarge"    // the body is larger than it may be
)
