package dotterboard

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TenantSummary describes what a tenant has in the shard.
type TenantSummary struct {
	Tenant  string
	Running dotterroom.Room // declared by its runs, those that may have started or may still be running included
	Cap     dotterroom.Room // of all shards together; 0 in a field means no limit
	Waiting int             // tasks of ready steps that are not bound
	Held    int             // those among them that wait for the cap
	Beyond  int             // jobs with waiting tasks that are beyond the tenant's rate

	Allotment float64 // fraction of the cap that the shard may use
	Weight    float64 // jobs per second that the tenant may send
}

// Tenants returns a summary of each tenant that is configured or has open jobs or runs here, by name.
func (b *Board) Tenants() []TenantSummary {
	b.mu.Lock()
	defer b.mu.Unlock()
	byName := map[string]*TenantSummary{}
	of := func(name string) *TenantSummary {
		s, ok := byName[name]
		if !ok {
			t, _ := b.document.Tenant(name)
			s = &TenantSummary{
				Tenant: name, Cap: t.Cap, Running: b.quota.uses.Of(name).Room,
				Allotment: b.quota.allotments.part(name).Fraction(), Weight: t.Weight,
			}
			byName[name] = s
		}
		return s
	}
	for name := range b.document.Tenants() {
		of(name)
	}
	for _, name := range b.quota.uses.Names() {
		if name != "" {
			of(name)
		}
	}
	for _, j := range b.open {
		if j.Tenant == "" {
			continue
		}
		s, waiting := of(j.Tenant), 0
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if step.waitingSince == 0 && !step.ready(0) {
					continue // not ready, or not due when a plan last looked
				}
				waiting += step.waiting
				if step.heldSince != 0 {
					s.Held += step.waiting
				}
			}
		}
		s.Waiting += waiting
		if waiting > 0 && j.arrival != nil && j.arrival.Beyond {
			s.Beyond++
		}
	}
	var summaries []TenantSummary
	for _, s := range byName {
		summaries = append(summaries, *s)
	}
	slices.SortFunc(summaries, func(a, b TenantSummary) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return summaries
}
