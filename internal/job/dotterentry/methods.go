package dotterentry

import (
	"bytes"
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

	OtherTenant bool `json:",omitempty"` // the caller may not access the job with this id
}

type stateReply struct {
	Known  bool // the answering host owns the job's home
	State  dotterjob.State
	Tenant string `json:",omitempty"` // of the job
}

// submission is the argument of a forwarded submission. For a caller without tenants it is
// encoded as the job alone, as in earlier versions.
type submission struct {
	dotterjob.Job
	Caller dotterjob.Caller `json:",omitzero"`
}

// cancellation is the argument of a forwarded cancellation. For a caller without tenants it is
// encoded as the id alone, as in earlier versions.
type cancellation struct {
	ID     dotterjob.ID
	Caller dotterjob.Caller
}

// MarshalJSON implements json.Marshaler.
func (c cancellation) MarshalJSON() ([]byte, error) {
	if c.Caller == (dotterjob.Caller{}) {
		return json.Marshal(c.ID)
	}
	type plain cancellation
	return json.Marshal(plain(c))
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *cancellation) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte(`"`)) {
		return json.Unmarshal(data, &c.ID)
	}
	type plain cancellation
	return json.Unmarshal(data, (*plain)(c))
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
		methodTenants: s.handleTenants,
	}
}

// beginForwarded begins a call of another host that changes something. It returns false if maxForwarded are
// under way, and otherwise a context that ends when nobody waits for the answer any more.
func (s *Service) beginForwarded(ctx context.Context) (_ context.Context, done func(), ok bool) {
	select {
	case s.forwarded <- struct{}{}:
	default:
		return nil, nil, false
	}
	call, cancel := context.WithTimeout(ctx, ownerCallTimeout.Duration())
	return call, func() { cancel(); <-s.forwarded }, true
}

func (s *Service) handleSubmit(ctx context.Context, args json.RawMessage) (any, error) {
	var a submission
	if err := json.Unmarshal(args, &a); err != nil {
		return nil, err
	}
	shard, ok := s.boards.Home(a.Job)
	if !ok || s.health.Failing() { // the caller may stop waiting before a try would end
		return writeReply{}, nil
	}
	ctx, done, ok := s.beginForwarded(ctx)
	if !ok {
		return writeReply{}, nil
	}
	defer done()
	err := s.submitLocally(ctx, a.Caller, shard, a.Job)
	return writeReply{Accepted: err == nil, Unknown: errors.Is(err, ErrUnknown), OtherTenant: errors.Is(err, ErrOtherTenant)}, nil
}

func (s *Service) handleCancel(ctx context.Context, args json.RawMessage) (any, error) {
	var a cancellation
	if err := json.Unmarshal(args, &a); err != nil {
		return nil, err
	}
	if s.health.Failing() {
		return writeReply{}, nil
	}
	ctx, done, ok := s.beginForwarded(ctx)
	if !ok {
		return writeReply{}, nil
	}
	defer done()
	err := s.cancelLocally(ctx, a.Caller, a.ID)
	other := errors.Is(err, ErrOtherTenant)
	return writeReply{Accepted: err == nil, Unknown: errors.Is(err, ErrUnknown), NoJob: other || errors.Is(err, ErrNoJob), OtherTenant: other}, nil
}

func (s *Service) handleState(_ context.Context, args json.RawMessage) (any, error) {
	var id dotterjob.ID
	if err := json.Unmarshal(args, &id); err != nil {
		return nil, err
	}
	for _, shard := range s.elector.Shards() {
		if b := s.boards.Board(shard); b != nil {
			if state, tenant, known := b.State(id); known {
				return stateReply{Known: true, State: state, Tenant: tenant}, nil
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
