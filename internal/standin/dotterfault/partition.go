package dotterfault

import (
	"slices"
	"sync"
)

// Partition is a network partition between entry hosts and parts of the
// platform. Calls across it get no answer.
type Partition struct {
	Clients        []string `json:",omitempty"` // names of entry hosts
	FailureDomains []string `json:",omitempty"` // every entry host in these failure domains
	Store          bool     `json:",omitempty"`
	List           bool     `json:",omitempty"`
	Workers        bool     `json:",omitempty"` // workers outside the client's failure domain
}

// Partitions holds the active network partitions.
type Partitions struct {
	domainOf func(client string) string

	mu         sync.Mutex
	partitions []Partition
}

// NewPartitions returns an empty set of partitions. domainOf returns the failure
// domain of an entry host.
func NewPartitions(domainOf func(client string) string) *Partitions {
	return &Partitions{domainOf: domainOf}
}

// Set replaces the active partitions.
func (p *Partitions) Set(partitions []Partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitions = partitions
}

// Store reports whether client is partitioned from the store.
func (p *Partitions) Store(client string) bool {
	return p.affects(client, func(partition Partition) bool { return partition.Store })
}

// List reports whether client is partitioned from the host list.
func (p *Partitions) List(client string) bool {
	return p.affects(client, func(partition Partition) bool { return partition.List })
}

// Worker reports whether client is partitioned from the workers in failureDomain.
func (p *Partitions) Worker(client, failureDomain string) bool {
	otherDomain := p.domainOf(client) != failureDomain
	return p.affects(client, func(partition Partition) bool { return partition.Workers && otherDomain })
}

func (p *Partitions) affects(client string, applies func(Partition) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.partitions) == 0 {
		return false
	}
	domain := p.domainOf(client)
	for _, partition := range p.partitions {
		selected := slices.Contains(partition.Clients, client) || slices.Contains(partition.FailureDomains, domain)
		if selected && applies(partition) {
			return true
		}
	}
	return false
}
