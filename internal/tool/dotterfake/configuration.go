package dotterfake

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// Configuration is a dotterelusher.Configuration whose document is replaced with Set.
type Configuration struct {
	mu       sync.RWMutex
	document dotterconfig.Document
	changed  signal
}

var _ dotterelusher.Configuration = (*Configuration)(nil)

// NewConfiguration returns a configuration that holds document.
func NewConfiguration(document dotterconfig.Document) *Configuration {
	return &Configuration{document: document}
}

// Current returns the document; it returns false if the revision is 0.
func (c *Configuration) Current() (dotterconfig.Document, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.document, c.document.Revision > 0
}

// Changed returns a channel that is closed at the next Set.
func (c *Configuration) Changed() <-chan struct{} {
	return c.changed.wait()
}

// StartsAllowed always allows starts.
func (c *Configuration) StartsAllowed(string) dotterelusher.StartPermission {
	return dotterelusher.StartPermission{Allowed: true}
}

// Set replaces the document.
func (c *Configuration) Set(document dotterconfig.Document) {
	c.mu.Lock()
	c.document = document
	c.mu.Unlock()
	c.changed.fire()
}
