package dotterfault

import (
	"slices"
	"sync"
)

// Partition separates entry hosts from parts of the platform: their calls there get no answer.
type Partition struct {
	Clients        []string `json:",omitempty"` // names of entry hosts
	FailureDomains []string `json:",omitempty"` // all entry hosts of these
	Store          bool     `json:",omitempty"`
	List           bool     `json:",omitempty"`
	Workers        bool     `json:",omitempty"` // workers of other failure domains than the client's
}

// Cuts holds the cuts in force.
type Cuts struct {
	domainOf func(client string) string

	mu   sync.Mutex
	cuts []Partition
}

// NewCuts returns no cuts; domainOf tells the failure domain of an entry host.
func NewCuts(domainOf func(client string) string) *Cuts {
	return &Cuts{domainOf: domainOf}
}

// Set replaces the cuts in force.
func (c *Cuts) Set(cuts []Partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts = cuts
}

// Store reports whether client is cut off from the store.
func (c *Cuts) Store(client string) bool {
	return c.any(client, func(cut Partition) bool { return cut.Store })
}

// List reports whether client is cut off from the host list.
func (c *Cuts) List(client string) bool {
	return c.any(client, func(cut Partition) bool { return cut.List })
}

// Worker reports whether client is cut off from the workers of failureDomain.
func (c *Cuts) Worker(client, failureDomain string) bool {
	away := c.domainOf(client) != failureDomain
	return c.any(client, func(cut Partition) bool { return cut.Workers && away })
}

func (c *Cuts) any(client string, applies func(Partition) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cuts) == 0 {
		return false
	}
	domain := c.domainOf(client)
	for _, cut := range c.cuts {
		meant := slices.Contains(cut.Clients, client) || slices.Contains(cut.FailureDomains, domain)
		if meant && applies(cut) {
			return true
		}
	}
	return false
}
