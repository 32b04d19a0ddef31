package dotterfake

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Directory is a host list that is set by hand.
type Directory struct {
	mu      sync.RWMutex
	hosts   []dotterhost.Host
	changed signal
}

var _ dotterelusher.Directory = (*Directory)(nil)

// NewDirectory returns a directory of hosts.
func NewDirectory(hosts ...dotterhost.Host) *Directory {
	return &Directory{hosts: hosts}
}

// Hosts returns the rows.
func (d *Directory) Hosts() []dotterhost.Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hosts
}

// Changed returns a channel that is closed at the next Set.
func (d *Directory) Changed() <-chan struct{} {
	return d.changed.wait()
}

// Set replaces the rows.
func (d *Directory) Set(hosts ...dotterhost.Host) {
	d.mu.Lock()
	d.hosts = hosts
	d.mu.Unlock()
	d.changed.fire()
}
