package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Rank     int                // lower is served first
	Deadline dotterclock.Millis // instant by which the response is needed
	Target   dotterclock.Millis // target latency of the template; 0: none
	Exclude  string             // server to avoid if another one has a free slot
}
