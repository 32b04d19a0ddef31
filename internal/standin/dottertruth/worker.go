package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Worker is the recorded state of one worker.
type Worker struct {
	Name          string
	FailureDomain string
	Capacity      dotterroom.Room
	Held          dotterroom.Room // by running attempts
	MaxHeld       dotterroom.Room
	MaxUsed       dotterroom.Room // actual usage, which may differ from the declared size
	OverUsed      int             // samples in which the actual usage exceeded the capacity
	Starts        int
	WithoutRoom   int // starts refused for lack of capacity
	TooLate       int // starts refused because they arrived after their deadline
	OldEpoch      int // commands refused because of an outdated epoch
}
