package dotterentry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterlink"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Methods that entry hosts call on each other.
const (
	methodSubmit  = "Jobs.Submit"
	methodCancel  = "Jobs.Cancel"
	methodState   = "Jobs.State"
	methodPending = "Jobs.Pending"
)

// writeReply is the reply to a forwarded submission or cancellation.
type writeReply struct {
	Accepted bool
	Unknown  bool // the write may have taken effect
	NoJob    bool // there is no such job to cancel
}

type stateReply struct {
	Known bool // the answering host owns the job's home
	State dotterjob.State
}

type pendingReply struct {
	Known   bool // the answering host owns the shard
	Pending map[string]int
}

// Methods returns the handlers for calls from other entry hosts.
func (s *Service) Methods() map[string]dotterlink.Method {
	return map[string]dotterlink.Method{
		methodSubmit:  s.handleSubmit,
		methodCancel:  s.handleCancel,
		methodState:   s.handleState,
		methodPending: s.handlePending,
	}
}

func (s *Service) handleSubmit(ctx context.Context, args json.RawMessage) (any, error) {
	var j dotterjob.Job
	if err := json.Unmarshal(args, &j); err != nil {
		return nil, err
	}
	shard, ok := s.boards.Home(j)
	if !ok || s.health.Failing() { // the caller may stop waiting before a try would end
		return writeReply{}, nil
	}
	err := s.submitLocally(ctx, shard, j)
	return writeReply{Accepted: err == nil, Unknown: errors.Is(err, ErrUnknown)}, nil
}

func (s *Service) handleCancel(ctx context.Context, args json.RawMessage) (any, error) {
	var id dotterjob.ID
	if err := json.Unmarshal(args, &id); err != nil {
		return nil, err
	}
	if s.health.Failing() {
		return writeReply{}, nil
	}
	err := s.cancelLocally(ctx, id)
	return writeReply{Accepted: err == nil, Unknown: errors.Is(err, ErrUnknown), NoJob: errors.Is(err, ErrNoJob)}, nil
}

func (s *Service) handleState(_ context.Context, args json.RawMessage) (any, error) {
	var id dotterjob.ID
	if err := json.Unmarshal(args, &id); err != nil {
		return nil, err
	}
	for _, shard := range s.elector.Shards() {
		if b := s.boards.Board(shard); b != nil {
			if state, known := b.State(id); known {
				return stateReply{Known: true, State: state}, nil
			}
		}
	}
	return stateReply{}, nil
}

func (s *Service) handlePending(_ context.Context, args json.RawMessage) (any, error) {
	var shard string
	if err := json.Unmarshal(args, &shard); err != nil {
		return nil, err
	}
	b := s.boards.Board(shard)
	if b == nil {
		return pendingReply{}, nil
	}
	return pendingReply{Known: true, Pending: b.Pending()}, nil
}
