package dotterscheduler

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterhome"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// Admission implements dotterentry.Boards.
func (s *Scheduler) Admission(j dotterjob.Job) dotteradmission.Decision {
	c := s.configuration.Load()
	// With tenants the order of waiting jobs depends on their rates, shares and caps, which the
	// outlook does not have, so that a hot tenant would get the others' jobs refused.
	if !s.settings.Board.Admission || c == nil || c.document.HasTenants() {
		return dotteradmission.Decision{}
	}
	queue, ok := c.document.Queue(j.Queue)
	if !ok {
		return dotteradmission.Decision{}
	}
	tenantCap, _ := s.TenantCap(j.Tenant)
	var shards []dotteradmission.Shard
	states := s.shardStates()
	for _, state := range states {
		if state.Live && !state.Out && (len(states) == 1 || hasWorkersFor(state, j, queue.Service)) {
			shards = append(shards, dotteradmission.Shard{
				Name: state.Shard, Outlook: state.Vacancy.Outlook, SeenAge: s.clock.Now() - s.elector.SeenAt(state.Shard),
			})
		}
	}
	return dotteradmission.Decide(wallTime(), j, queue, tenantCap, shards)
}

// TenantCap implements dotterentry.Boards.
func (s *Scheduler) TenantCap(tenant string) (limit dotterroom.Room, version int64) {
	c := s.configuration.Load()
	if c == nil {
		return dotterroom.Room{}, 0
	}
	t, _ := c.document.Tenant(tenant)
	return t.Cap, c.document.Version
}

// hasWorkersFor reports whether the shard may have workers for all steps of the job. One whose
// owner has not published its room may have them.
func hasWorkersFor(shard dotterhome.Candidate, j dotterjob.Job, service string) bool {
	if !shard.Vacancy.Published {
		return true
	}
	s := shard.Vacancy.Services[service]
	return s.Capacity > 0 && !slices.ContainsFunc(j.Steps, func(step dotterjob.Step) bool {
		return step.Label != "" && !slices.Contains(s.Labels, step.Label)
	})
}
