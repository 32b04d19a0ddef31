package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/model/dotterhost"

// Directory is this process's last good copy of the platform's host list.
type Directory interface {
	// Hosts returns the rows last read; the caller must not change them.
	Hosts() []dotterhost.Host

	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
