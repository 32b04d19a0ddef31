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

type submitReply struct {
	Accepted bool
	Unknown  bool // the write may have taken effect
	NoJob    bool // there is no such job to cancel
}

type stateReply struct {
	Known bool // the answering host owns the shard and has the job
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
	if s.StoreUnavailable() {
		return submitReply{}, nil
	}
	_, err := s.submitLocally(ctx, j)
	return submitReply{Accepted: err == nil, Unknown: errors.Is(err, ErrUnknown)}, nil
}

func (s *Service) handleCancel(ctx context.Context, args json.RawMessage) (any, error) {
	var id dotterjob.ID
	if err := json.Unmarshal(args, &id); err != nil {
		return nil, err
	}
	if s.StoreUnavailable() || !s.elector.Owning() {
		return submitReply{}, nil
	}
	err := s.cancelLocally(ctx, id)
	noJob := errors.Is(err, ErrNoJob)
	return submitReply{Accepted: err == nil || noJob, NoJob: noJob}, nil
}

func (s *Service) handleState(_ context.Context, args json.RawMessage) (any, error) {
	var id dotterjob.ID
	if err := json.Unmarshal(args, &id); err != nil {
		return nil, err
	}
	b := s.board()
	if b == nil {
		return stateReply{}, nil
	}
	state, known := b.State(id)
	return stateReply{Known: known, State: state}, nil
}

func (s *Service) handlePending(context.Context, json.RawMessage) (any, error) {
	b := s.board()
	if b == nil {
		return pendingReply{}, nil
	}
	return pendingReply{Known: true, Pending: b.Pending()}, nil
}
