package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"

// waiter is a queued request. When the service removes it from the queue, it sends
// exactly one decision; a waiter that removes itself gets none.
type waiter struct {
	request  SlotRequest
	decision chan decision
}

// decision is either a grant or a refusal.
type decision struct {
	grant   *Grant
	refusal *dotterrequest.Refusal
}

func newWaiter(request SlotRequest) *waiter {
	return &waiter{request: request, decision: make(chan decision, 1)}
}
