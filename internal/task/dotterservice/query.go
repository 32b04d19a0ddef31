package dotterservice

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// maxHops is how often a task that moves between shards is followed.
const maxHops = 8

// Get returns the task called id from the shard that has it now.
func (s *Service) Get(ctx context.Context, id dottertask.ID) (dottertask.Task, error) {
	home, ok := dottershard.Home(id)
	if !ok {
		return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskNotFound, "%q", id)
	}
	shard := home.String()
	for range maxHops {
		reply, err := s.call(ctx, MethodGet, Call{Shard: shard, IDs: []dottertask.ID{id}}, s.answerGet)
		if err == nil {
			err = reply.err()
		}
		if err != nil {
			return dottertask.Task{}, err
		}
		if len(reply.Tasks) != 1 {
			return dottertask.Task{}, eris.Wrap(dotterelusher.ErrTaskUnknown, "the owner's answer is not whole")
		}
		if reply.Target == "" {
			return reply.Tasks[0], nil
		}
		shard = reply.Target
	}
	return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskUnknown, "%s moves between shards", id)
}

func (s *Service) answerGet(ctx context.Context, call Call) Reply {
	owner, ok := s.ownerFor(call)
	if !ok {
		return notOwner(call)
	}
	if len(call.IDs) != 1 {
		return Reply{Code: codeInvalid, Message: "one task is asked for at a time"}
	}
	task, target, err := owner.Get(ctx, call.IDs[0])
	reply := replyOf(err)
	reply.Tasks = []dottertask.Task{task}
	reply.Target = target
	return reply
}

// Cancel cancels the tasks, those of each shard in one append, and returns how
// many were not yet final. When some shard can't be reached it returns the
// count so far and that shard's error.
func (s *Service) Cancel(ctx context.Context, ids []dottertask.ID) (int, error) {
	byShard := make(map[string][]dottertask.ID)
	for _, id := range ids {
		home, ok := dottershard.Home(id)
		if !ok {
			return 0, eris.Wrapf(dotterelusher.ErrTaskNotFound, "%q", id)
		}
		byShard[home.String()] = append(byShard[home.String()], id)
	}
	count := 0
	var failure error
	for range maxHops {
		moved := make(map[string][]dottertask.ID)
		for shard, part := range byShard {
			n, err := s.cancelIn(ctx, shard, part, moved)
			count += n
			failure = errors.Join(failure, err)
		}
		if len(moved) == 0 {
			break
		}
		byShard = moved
	}
	return count, failure
}

// cancelIn cancels tasks of one shard and adds those that have moved on to moved.
func (s *Service) cancelIn(ctx context.Context, shard string, ids []dottertask.ID, moved map[string][]dottertask.ID) (int, error) {
	reply, err := s.call(ctx, MethodCancel, Call{Shard: shard, IDs: ids}, s.answerCancel)
	if err != nil {
		return 0, err
	}
	if err := reply.err(); err != nil {
		return 0, err
	}
	for target, part := range reply.Moved {
		moved[target] = append(moved[target], part...)
	}
	return reply.Cancelled, nil
}

func (s *Service) answerCancel(ctx context.Context, call Call) Reply {
	owner, ok := s.ownerFor(call)
	if !ok {
		return notOwner(call)
	}
	result, err := owner.Cancel(ctx, call.IDs)
	reply := replyOf(err)
	reply.Cancelled = result.Count
	reply.Moved = result.Moved
	return reply
}
