package dottertasks

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// maxSubmitShards is the maximum number of shards that a submission is sent to.
const maxSubmitShards = 3

// Submit accepts the submissions durably and returns their tasks.
//
// Submissions without a key go to one shard together, after all others. A submission
// with a key goes to the shard that its key maps to, so only part of a call with several
// keys may be accepted. Submit then returns ErrTaskIndeterminate, and the call may be
// repeated with the same keys. What has no key was then accepted only if the answer to
// it was lost, as in a call without keys.
func (s *Service) Submit(ctx context.Context, submissions []dottersubmission.Submission) ([]dottertask.Task, error) {
	document, ok := s.options.Configuration.Current()
	if !ok {
		return nil, eris.Wrap(dotterelusher.ErrTaskRefused, "no configuration yet")
	}
	tasks := make([]dottertask.Task, len(submissions))
	for i, sub := range submissions {
		task, err := newTask(document, sub)
		if err != nil {
			return nil, eris.Wrapf(err, "submission %d", i)
		}
		tasks[i] = task
	}
	if reason := s.infeasibleReason(tasks); reason != "" {
		return nil, eris.Wrap(dotterelusher.ErrTaskInvalid, reason)
	}
	return s.submitParts(ctx, document, tasks)
}

// part holds the indexes of the submissions of one call that go to one shard.
type part struct {
	shard   string // empty means any shard
	indexes []int
}

// partition groups tasks by the shard that they must go to. Those that may go to any
// shard come last, because a repetition accepts them again.
func (s *Service) partition(document dotterconfig.Document, tasks []dottertask.Task) ([]part, error) {
	layoutsKnown := s.hasAllLayouts(document)
	shards := s.allShards()
	byShard := make(map[string]int)
	var parts []part
	for i, t := range tasks {
		shard := ""
		if t.Key != "" {
			name, ok := dottershard.ForKey(shards, t.Team, t.Key)
			if !ok || !layoutsKnown {
				return nil, eris.Wrap(dotterelusher.ErrTaskRefused, "not every shard is known yet")
			}
			shard = name.String()
		}
		at, known := byShard[shard]
		if !known {
			at = len(parts)
			byShard[shard] = at
			parts = append(parts, part{shard: shard})
		}
		parts[at].indexes = append(parts[at].indexes, i)
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.shard, a.shard) })
	return parts, nil
}

func (s *Service) submitParts(ctx context.Context, document dotterconfig.Document, tasks []dottertask.Task) ([]dottertask.Task, error) {
	parts, err := s.partition(document, tasks)
	if err != nil {
		return nil, err
	}
	accepted := make([]dottertask.Task, len(tasks))
	for n, p := range parts {
		subset := make([]dottertask.Task, len(p.indexes))
		for i, index := range p.indexes {
			subset[i] = tasks[index]
		}
		partTasks, err := s.submitPart(ctx, document, p.shard, subset)
		if err != nil && n > 0 {
			return nil, eris.Wrapf(dotterelusher.ErrTaskIndeterminate, "accepted in part: %v", err)
		}
		if err != nil {
			return nil, err
		}
		for i, index := range p.indexes {
			accepted[index] = partTasks[i]
		}
	}
	return accepted, nil
}

func (s *Service) submitPart(ctx context.Context, document dotterconfig.Document, shard string, tasks []dottertask.Task) ([]dottertask.Task, error) {
	if shard != "" {
		return s.submitTo(ctx, shard, tasks)
	}
	lastErr := eris.Wrap(dotterelusher.ErrTaskRefused, "no shard can run it at the moment")
	for i, name := range s.shardsFor(document, tasks) {
		if i == maxSubmitShards {
			break
		}
		accepted, err := s.submitTo(ctx, name.String(), tasks)
		if err == nil || !errors.Is(err, dotterelusher.ErrTaskRefused) {
			return accepted, err
		}
		lastErr = err
	}
	return nil, lastErr
}

func (s *Service) submitTo(ctx context.Context, shard string, tasks []dottertask.Task) ([]dottertask.Task, error) {
	reply, err := s.call(ctx, MethodSubmit, Call{Shard: shard, Tasks: tasks}, s.answerSubmit)
	if err != nil {
		return nil, err
	}
	if err := reply.err(); err != nil {
		return nil, err
	}
	if len(reply.Tasks) != len(tasks) {
		return nil, eris.Wrap(dotterelusher.ErrTaskIndeterminate, "the owner's answer is not whole")
	}
	return reply.Tasks, nil
}

func (s *Service) answerSubmit(ctx context.Context, call Call) Reply {
	owner, ok := s.ownerFor(call)
	if !ok {
		return notOwner(call)
	}
	tasks, err := owner.Submit(ctx, call.Tasks)
	reply := replyOf(err)
	reply.Tasks = tasks
	return reply
}

// shardsFor returns the shards whose workers can run all of tasks: first this
// host's in its own failure domain, then the others of that domain, then the rest.
func (s *Service) shardsFor(document dotterconfig.Document, tasks []dottertask.Task) []dottershard.Name {
	capacities := s.capacities(document)
	var near, same, far []dottershard.Name
	for _, name := range s.rotatedShards() {
		if !allFit(tasks, capacities[name]) {
			continue
		}
		_, local := s.localOwner(name)
		switch {
		case local && name.FailureDomain == s.options.FailureDomain:
			near = append(near, name)
		case name.FailureDomain == s.options.FailureDomain:
			same = append(same, name)
		default:
			far = append(far, name)
		}
	}
	return append(append(near, same...), far...)
}

// rotatedShards returns all shards, beginning with the next one at each call.
func (s *Service) rotatedShards() []dottershard.Name {
	shards := s.allShards()
	if len(shards) == 0 {
		return nil
	}
	s.mu.Lock()
	s.rotation++
	first := s.rotation % len(shards)
	s.mu.Unlock()
	return append(append([]dottershard.Name(nil), shards[first:]...), shards[:first]...)
}

// capacities returns for each shard the capacities of its workers that accept new work.
func (s *Service) capacities(document dotterconfig.Document) map[dottershard.Name][]dotterroom.Room {
	capacities := make(map[dottershard.Name][]dotterroom.Room)
	for _, h := range s.options.Directory.Hosts() {
		if h.Role != dotterhost.RoleWorker || !h.Live() || document.DomainOut(h.FailureDomain) || document.IsDraining(h.Name) {
			continue
		}
		layout, ok := s.layout(h.FailureDomain)
		if !ok {
			continue
		}
		if number, placed := layout.Racks[h.Rack]; placed {
			name := dottershard.Name{FailureDomain: h.FailureDomain, Number: number}
			capacities[name] = append(capacities[name], h.Capacity)
		}
	}
	return capacities
}
