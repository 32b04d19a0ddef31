package dotterconnection

import "github.com/dotterelusher/dotterelusher"

// manyPermits is more than a process ever uses.
const manyPermits = 1 << 20

// Unlimited grants every permit: for connections to other entry hosts, whose
// number the caller bounds.
type Unlimited struct {
	never chan struct{}
}

var (
	_ dotterelusher.Permits = (*Unlimited)(nil)
	_ dotterelusher.Permit  = (*Unlimited)(nil)
)

// NewUnlimited returns permits without a limit.
func NewUnlimited() *Unlimited {
	return &Unlimited{never: make(chan struct{})}
}

// Slot grants a slot.
func (u *Unlimited) Slot(string) (dotterelusher.Permit, bool) { return u, true }

// Connection grants a connection.
func (u *Unlimited) Connection(string) (dotterelusher.Permit, bool) { return u, true }

// Slots returns that there are many and all are free.
func (u *Unlimited) Slots(string) (usable, free int) { return manyPermits, manyPermits }

// Changed returns a channel that is never closed.
func (u *Unlimited) Changed() <-chan struct{} { return u.never }

// Release does nothing.
func (u *Unlimited) Release() {}

// Withdrawn returns a channel that is never closed.
func (u *Unlimited) Withdrawn() <-chan struct{} { return u.never }
