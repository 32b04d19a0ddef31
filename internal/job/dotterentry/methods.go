package dotterentry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterlink"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Methods of the link between entry hosts.
const (
	methodSubmit  = "Jobs.Submit"
	methodCancel  = "Jobs.Cancel"
	methodState   = "Jobs.State"
	methodPending = "Jobs.Pending"
)

type submitReply struct {
	Accepted bool
	Unknown  bool // it may have been accepted
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

// Methods returns what the host answers over its link.
func (s *Service) Methods() map[string]dotterlink.Method {
	return map[string]dotterlink.Method{
		methodSubmit:  s.answerSubmit,
		methodCancel:  s.answerCancel,
		methodState:   s.answerState,
		methodPending: s.answerPending,
	}
}

func (s *Service) answerSubmit(ctx context.Context, args json.RawMessage) (any, error) {
	var j dotterjob.Job
	if err := json.Unmarshal(args, &j); err != nil {
		return nil, err
	}
	if s.StoreUnavailable() {
		return submitReply{}, nil
	}
	_, err := s.submitHere(ctx, j)
	return submitReply{Accepted: err == nil, Unknown: errors.Is(err, ErrUnknown)}, nil
}

func (s *Service) answerCancel(ctx context.Context, args json.RawMessage) (any, error) {
	var id dotterjob.ID
	if err := json.Unmarshal(args, &id); err != nil {
		return nil, err
	}
	if s.StoreUnavailable() || !s.keeper.Owning() {
		return submitReply{}, nil
	}
	err := s.cancelHere(ctx, id)
	noJob := errors.Is(err, ErrNoJob)
	return submitReply{Accepted: err == nil || noJob, NoJob: noJob}, nil
}

func (s *Service) answerState(_ context.Context, args json.RawMessage) (any, error) {
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

func (s *Service) answerPending(context.Context, json.RawMessage) (any, error) {
	b := s.board()
	if b == nil {
		return pendingReply{}, nil
	}
	return pendingReply{Known: true, Pending: b.Pending()}, nil
}
