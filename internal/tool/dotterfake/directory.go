package dotterfake

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Directory is a dotterelusher.Directory whose hosts are replaced with Set.
type Directory struct {
	mu      sync.RWMutex
	hosts   []dotterhost.Host
	changed signal
}

var _ dotterelusher.Directory = (*Directory)(nil)

// NewDirectory returns a directory that lists hosts.
func NewDirectory(hosts ...dotterhost.Host) *Directory {
	return &Directory{hosts: hosts}
}

// Hosts returns the listed hosts.
func (d *Directory) Hosts() []dotterhost.Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hosts
}

// Changed returns a channel that is closed at the next Set.
func (d *Directory) Changed() <-chan struct{} {
	return d.changed.wait()
}

// Set replaces the listed hosts.
func (d *Directory) Set(hosts ...dotterhost.Host) {
	d.mu.Lock()
	d.hosts = hosts
	d.mu.Unlock()
	d.changed.fire()
}
