package dottertasks

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// maxHops limits how many moves between shards are followed to find a task.
const maxHops = 64

// Get returns the task with the given ID from the shard that has it now.
func (s *Service) Get(ctx context.Context, id dottertask.ID) (dottertask.Task, error) {
	home, ok := dottershard.Home(id)
	if !ok {
		return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskNotFound, "%q", id)
	}
	task, err := s.follow(ctx, home.String(), id)
	if errors.Is(err, dotterelusher.ErrTaskNotFound) {
		return s.search(ctx, home, id)
	}
	return task, err
}

// search asks every shard but home for a task. It is needed when home has already
// removed the entry that names the task's new shard, because too many tasks have
// ended or moved there since.
func (s *Service) search(ctx context.Context, home dottershard.Name, id dottertask.ID) (dottertask.Task, error) {
	lastErr := eris.Wrapf(dotterelusher.ErrTaskNotFound, "%q", id)
	for _, name := range s.allShards() {
		if name == home {
			continue
		}
		task, err := s.follow(ctx, name.String(), id)
		if err == nil {
			return task, nil
		}
		if !errors.Is(err, dotterelusher.ErrTaskNotFound) {
			lastErr = err
		}
	}
	return dottertask.Task{}, lastErr
}

// follow returns the task from the shard that has it now, following its moves
// from shard on.
func (s *Service) follow(ctx context.Context, shard string, id dottertask.ID) (dottertask.Task, error) {
	for range maxHops {
		reply, err := s.call(ctx, MethodGet, Call{Shard: shard, IDs: []dottertask.ID{id}}, s.answerGet)
		if err == nil {
			err = reply.err()
		}
		if err != nil {
			return dottertask.Task{}, err
		}
		if len(reply.Tasks) != 1 {
			return dottertask.Task{}, eris.Wrap(dotterelusher.ErrTaskIndeterminate, "the owner's answer is not whole")
		}
		if reply.Target == "" {
			return reply.Tasks[0], nil
		}
		shard = reply.Target
	}
	return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskIndeterminate, "%s moves between shards", id)
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

// Cancel cancels the tasks and returns how many were not yet final. Up to
// maxCancelTasks tasks of a shard are cancelled by one log record. If a shard
// cannot be reached, Cancel returns the count of the others and the shard's error.
func (s *Service) Cancel(ctx context.Context, ids []dottertask.ID) (int, error) {
	byShard := make(map[string][]dottertask.ID)
	for _, id := range ids {
		home, ok := dottershard.Home(id)
		if !ok {
			return 0, eris.Wrapf(dotterelusher.ErrTaskNotFound, "%q", id)
		}
		byShard[home.String()] = append(byShard[home.String()], id)
	}
	count, unknown, err := s.cancelAll(ctx, byShard)
	if len(unknown) == 0 {
		return count, err
	}
	// The home shards no longer have the entries that name the tasks' new shards.
	byEveryShard := make(map[string][]dottertask.ID)
	for _, name := range s.allShards() {
		byEveryShard[name.String()] = unknown
	}
	found, _, searchErr := s.cancelAll(ctx, byEveryShard)
	return count + found, errors.Join(err, searchErr)
}

// cancelAll cancels the tasks of each shard and follows those that have moved. It
// returns how many were not yet final and which were unknown to the shard asked.
func (s *Service) cancelAll(ctx context.Context, byShard map[string][]dottertask.ID) (int, []dottertask.ID, error) {
	count := 0
	var unknown []dottertask.ID
	var errs error
	for range maxHops {
		moved := make(map[string][]dottertask.ID)
		for shard, part := range byShard {
			reply, err := s.cancelInShard(ctx, shard, part)
			errs = errors.Join(errs, err)
			count += reply.Cancelled
			unknown = append(unknown, reply.Other...)
			for target, ids := range reply.Moved {
				moved[target] = append(moved[target], ids...)
			}
		}
		if len(moved) == 0 {
			break
		}
		byShard = moved
	}
	return count, unknown, errs
}

// maxCancelTasks is the maximum number of tasks in one cancellation record.
const maxCancelTasks = 10_000

// cancelInShard cancels tasks of one shard, up to maxCancelTasks by one log record.
func (s *Service) cancelInShard(ctx context.Context, shard string, ids []dottertask.ID) (Reply, error) {
	sum := Reply{Moved: make(map[string][]dottertask.ID)}
	for part := range slices.Chunk(ids, maxCancelTasks) {
		reply, err := s.cancelChunk(ctx, shard, part)
		if err != nil {
			return sum, err
		}
		sum.Cancelled += reply.Cancelled
		sum.Other = append(sum.Other, reply.Other...)
		for target, moved := range reply.Moved {
			sum.Moved[target] = append(sum.Moved[target], moved...)
		}
	}
	return sum, nil
}

func (s *Service) cancelChunk(ctx context.Context, shard string, ids []dottertask.ID) (Reply, error) {
	reply, err := s.call(ctx, MethodCancel, Call{Shard: shard, IDs: ids}, s.answerCancel)
	if err == nil {
		err = reply.err()
	}
	if err != nil {
		return Reply{}, err
	}
	return reply, nil
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
	reply.Other = result.Other
	return reply
}
