package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"

// waiter is a request in the queue; exactly one verdict is sent to it once it
// has left the queue other than by itself.
type waiter struct {
	ticket  SlotRequest
	verdict chan verdict
}

// verdict is a grant or a refusal.
type verdict struct {
	grant   *Grant
	refusal *dotterrequest.Refusal
}

func newWaiter(ticket SlotRequest) *waiter {
	return &waiter{ticket: ticket, verdict: make(chan verdict, 1)}
}
