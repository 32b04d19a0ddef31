package dottertasks

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// handoff passes tasks between shards for their owners.
type handoff struct {
	service *Service
}

var _ dotterowner.Handoff = handoff{}

// Targets returns the other shards that have an owner and workers that take new
// work: those of the same region if there are any.
func (h handoff) Targets(shard dottershard.Name) []string {
	document, ok := h.service.options.Configuration.Current()
	if !ok {
		return nil
	}
	capacities := h.service.capacities(document)
	var near, far []string
	for _, name := range h.service.allShards() {
		if name == shard || len(capacities[name]) == 0 {
			continue
		}
		if _, located := h.service.locate(name); !located {
			continue
		}
		if document.SameRegion(name.FailureDomain, shard.FailureDomain) {
			near = append(near, name.String())
			continue
		}
		far = append(far, name.String())
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// IdleCapacity returns the room that other shards have free while none of their tasks
// wait, as last heard; shards that have not been heard of since tasks were
// moved to them may be filled twice, and then queue.
func (h handoff) IdleCapacity(shard dottershard.Name) map[string]dotterroom.Room {
	document, ok := h.service.options.Configuration.Current()
	if !ok {
		return nil
	}
	spare := make(map[string]dotterroom.Room)
	for text, load := range h.service.poolUse().Shards {
		name, ok := dottershard.ParseName(text)
		if !ok || name == shard || document.DomainOut(name.FailureDomain) {
			continue
		}
		if load.Queued == 0 && load.Free.MilliCores > 0 {
			spare[text] = load.Free
		}
	}
	return spare
}

// Adopt asks the owner of target to log the entries.
func (h handoff) Adopt(ctx context.Context, target string, entries []dotterrecord.Entry) error {
	reply, err := h.service.call(ctx, MethodAdopt, Call{Shard: target, Entries: entries}, h.service.answerAdopt)
	if err == nil {
		err = reply.err()
	}
	return ownerError(err)
}

// Cancel asks the owner of target to cancel tasks that it has taken over.
func (h handoff) Cancel(ctx context.Context, target string, ids []dottertask.ID) error {
	reply, err := h.service.call(ctx, MethodCancel, Call{Shard: target, IDs: ids}, h.service.answerCancel)
	if err == nil {
		err = reply.err()
	}
	return ownerError(err)
}

// ownerError turns this layer's error into the owner's.
func ownerError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, dotterelusher.ErrTaskRefused), errors.Is(err, dotterelusher.ErrTaskInvalid):
		return eris.Wrap(dotterowner.ErrRefused, err.Error())
	}
	return eris.Wrap(dotterowner.ErrUnknown, err.Error())
}

func (s *Service) answerAdopt(ctx context.Context, call Call) Reply {
	owner, ok := s.ownerFor(call)
	if !ok {
		return notOwner(call)
	}
	return replyOf(owner.Adopt(ctx, call.Entries))
}
