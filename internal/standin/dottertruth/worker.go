package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Worker is the truth about one worker.
type Worker struct {
	Name          string
	FailureDomain string
	Capacity      dotterroom.Room
	Held          dotterroom.Room // by attempts that run
	MaxHeld       dotterroom.Room
	MaxUsed       dotterroom.Room // true use, which may be off from what was declared
	OverUsed      int             // samples in which the true use was over the capacity
	Starts        int
	WithoutRoom   int // starts refused because there was no room
	TooLate       int // starts refused because they came too late
	OldEpoch      int // commands refused because of an older epoch
}
