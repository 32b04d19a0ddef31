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
	if !s.settings.Board.Admission || c == nil {
		return dotteradmission.Decision{}
	}
	queue, ok := c.document.Queue(j.Queue)
	if !ok {
		return dotteradmission.Decision{}
	}
	tenantCap := dotterroom.Room{}
	if t, ok := c.document.Tenant(j.Tenant); ok {
		tenantCap = t.Cap
	}
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
