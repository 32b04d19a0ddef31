package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/model/dotterhost"

// Directory holds the platform's host list as of the last successful read.
type Directory interface {
	// Hosts returns the hosts of the last successful read; the caller must not modify the slice.
	Hosts() []dotterhost.Host

	// Changed returns a channel that is closed when the list next changes.
	Changed() <-chan struct{}
}
