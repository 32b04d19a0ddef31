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
}

// Tenants returns a summary of each tenant that is configured or has jobs here, by name.
func (b *Board) Tenants() []TenantSummary {
	b.mu.Lock()
	defer b.mu.Unlock()
	byName := map[string]*TenantSummary{}
	for name, t := range b.document.Tenants() {
		byName[name] = &TenantSummary{Tenant: name, Cap: t.Cap}
	}
	for _, j := range b.jobs {
		if j.Tenant == "" {
			continue
		}
		s, ok := byName[j.Tenant]
		if !ok {
			s = &TenantSummary{Tenant: j.Tenant}
			byName[j.Tenant] = s
		}
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if j.outcome == "" && step.ready(0) {
					s.Waiting += step.waiting
				}
				for _, t := range step.tasks {
					if t.isBound() {
						s.Running = s.Running.Add(step.Size)
					}
				}
			}
		}
	}
	var summaries []TenantSummary
	for _, s := range byName {
		summaries = append(summaries, *s)
	}
	slices.SortFunc(summaries, func(a, b TenantSummary) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return summaries
}
