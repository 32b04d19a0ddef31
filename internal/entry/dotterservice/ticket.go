package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// SlotRequest asks for a slot.
type SlotRequest struct {
	Rank     int                // lower goes first
	Deadline dotterclock.Millis // instant by which the answer is wanted
	Target   dotterclock.Millis // latency that the team wants; 0: none
	Exclude  string             // a server that is not wanted, if another has a free slot
}
