package dotterconnection

import "github.com/dotterelusher/dotterelusher"

// unlimitedPermits is reported by Slots; no process uses this many.
const unlimitedPermits = 1 << 20

// Unlimited grants every permit. It is used for connections to other entry hosts,
// whose number the caller limits.
type Unlimited struct {
	never chan struct{}
}

var (
	_ dotterelusher.Permits = (*Unlimited)(nil)
	_ dotterelusher.Permit  = (*Unlimited)(nil)
)

// NewUnlimited returns an Unlimited.
func NewUnlimited() *Unlimited {
	return &Unlimited{never: make(chan struct{})}
}

// Slot grants a slot.
func (u *Unlimited) Slot(string) (dotterelusher.Permit, bool) { return u, true }

// Connection grants a connection.
func (u *Unlimited) Connection(string) (dotterelusher.Permit, bool) { return u, true }

// Slots reports unlimitedPermits slots, all of them free.
func (u *Unlimited) Slots(string) (usable, free int) { return unlimitedPermits, unlimitedPermits }

// Changed returns a channel that is never closed.
func (u *Unlimited) Changed() <-chan struct{} { return u.never }

// Release does nothing.
func (u *Unlimited) Release() {}

// Withdrawn returns a channel that is never closed.
func (u *Unlimited) Withdrawn() <-chan struct{} { return u.never }
