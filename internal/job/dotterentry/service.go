package dotterentry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhead"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterlink"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Errors of a Service.
var (
	// ErrRefused means that the call had no effect and never will.
	ErrRefused = eris.New("jobs: refused, nothing was accepted")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = eris.New("jobs: no answer from the store, the call may have taken effect")
	// ErrNoJob means that there is no such job.
	ErrNoJob = eris.New("jobs: no such job")
	// ErrUnavailable means that neither the owner nor the store can be reached.
	ErrUnavailable = eris.New("jobs: neither the owner nor the store can be reached")
)

const (
	// storeCallTimeout bounds one call to the store, which usually answers within milliseconds.
	storeCallTimeout = 600 * dotterclock.Millisecond
	// ownerCallTimeout bounds one call to the owner.
	ownerCallTimeout = 500 * dotterclock.Millisecond
	// retryDelay is the delay before a call to the store is retried.
	retryDelay = 50 * dotterclock.Millisecond
	// pendingTTL is how long the counts of pending jobs are cached.
	pendingTTL = 800 * dotterclock.Millisecond
	// storeUnavailableTimeout is how long the store may give no answer before it counts as
	// unavailable and is not called: twice the wait of the watch that every host keeps open.
	storeUnavailableTimeout = 2200 * dotterclock.Millisecond
)

// Service accepts and cancels jobs and reports their states. It is safe for concurrent use.
type Service struct {
	store        dotterelusher.TransactionalStore
	links        *dotterlink.Client
	elector      *dotterhead.Elector
	clock        dotterelusher.Clock
	logger       *zap.Logger
	board        func() *dotterboard.Board
	storeFreshAt func() dotterclock.Millis

	mu        sync.Mutex
	pending   map[string]int // cached answer of the owner, by queue; nil before the first
	pendingAt dotterclock.Millis
}

// New returns a service. board returns the board while this host owns the shard and
// nil otherwise; storeFreshAt returns when the store last answered this host.
func New(store dotterelusher.TransactionalStore, links *dotterlink.Client, elector *dotterhead.Elector, clock dotterelusher.Clock,
	logger *zap.Logger, board func() *dotterboard.Board, storeFreshAt func() dotterclock.Millis) *Service {
	return &Service{store: store, links: links, elector: elector, clock: clock, logger: logger, board: board, storeFreshAt: storeFreshAt}
}

// StoreUnavailable reports whether the store has not answered for storeUnavailableTimeout.
func (s *Service) StoreUnavailable() bool {
	return s.clock.Now()-s.storeFreshAt() > storeUnavailableTimeout
}

// Submit accepts the job durably; a job that was accepted before is left unchanged.
func (s *Service) Submit(ctx context.Context, j dotterjob.Job) error {
	sent := false
	if !s.StoreUnavailable() {
		var err error
		sent, err = s.submitLocally(ctx, j)
		if err == nil || sent {
			return err
		}
	}
	return s.forwardSubmit(ctx, j)
}

// submitLocally creates the job's key. sent reports whether the write may have taken effect.
func (s *Service) submitLocally(ctx context.Context, j dotterjob.Job) (sent bool, err error) {
	value, err := json.Marshal(j)
	if err != nil {
		return false, err
	}
	t := dotterkey.Transaction{
		Expect: map[string]dotterkey.Version{JobKey(j.ID): 0},
		Puts:   []dotterkey.Entry{{Key: JobKey(j.ID), Value: value}},
	}
	return s.createKey(ctx, "submit", j.ID, t)
}

// createKey commits a transaction that creates a key. A conflict counts as success,
// because it means that the key exists already.
func (s *Service) createKey(ctx context.Context, operation string, id dotterjob.ID, t dotterkey.Transaction) (sent bool, err error) {
	const attempts = 3 // then the store counts as unreachable
	for attempt := 1; ; attempt++ {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		_, _, err = s.store.Commit(call, t)
		cancel()
		if err == nil || errors.Is(err, dotterelusher.ErrStoreConflict) {
			return true, nil
		}
		sent = sent || errors.Is(err, dotterelusher.ErrStoreIndeterminate)
		s.logger.Info("write not confirmed", zap.String("Job", string(id)), zap.String("Call", operation), zap.Int("Attempt", attempt),
			zap.Bool("MayHaveTakenEffect", sent), zap.Int64("StoreFreshMsAgo", int64(s.clock.Now()-s.storeFreshAt())), zap.Error(err))
		if attempt == attempts || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(retryDelay):
		}
	}
	if sent {
		return true, ErrUnknown
	}
	return false, ErrRefused
}

// forwardSubmit submits the job through the owner's host.
func (s *Service) forwardSubmit(ctx context.Context, j dotterjob.Job) error {
	var reply submitReply
	err := s.callOwner(ctx, methodSubmit, j, &reply)
	switch {
	case err == nil && reply.Accepted:
		s.logger.Info("job submitted through the owner", zap.String("Job", string(j.ID)))
		return nil
	case err == nil && reply.Unknown, errors.Is(err, dotterlink.ErrNoAnswer):
		return ErrUnknown
	}
	return ErrRefused
}

// Cancel cancels the job durably. Its error is ErrNoJob, ErrUnknown or ErrUnavailable.
func (s *Service) Cancel(ctx context.Context, id dotterjob.ID) error {
	err := s.cancelLocally(ctx, id)
	if !errors.Is(err, ErrUnavailable) || s.elector.Owning() {
		return err
	}
	var reply submitReply
	if err := s.callOwner(ctx, methodCancel, id, &reply); err != nil || !reply.Accepted {
		return ErrUnavailable
	}
	if reply.NoJob {
		return ErrNoJob
	}
	return nil
}

// cancelLocally creates the cancellation's key. ErrUnavailable means that nothing was written.
func (s *Service) cancelLocally(ctx context.Context, id dotterjob.ID) error {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	entry, err := s.store.Get(call, JobKey(id))
	cancel()
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return ErrNoJob
	}
	if err != nil {
		s.logger.Info("cancellation not stored: cannot read the job's key", zap.String("Job", string(id)), zap.Error(err))
		return ErrUnavailable
	}
	t := dotterkey.Transaction{
		Expect: map[string]dotterkey.Version{JobKey(id): entry.Version, CancelKey(id): 0},
		Puts:   []dotterkey.Entry{{Key: CancelKey(id), Value: []byte("{}")}},
	}
	if sent, err := s.createKey(ctx, "cancel", id, t); err != nil && !sent {
		return ErrUnavailable
	} else if err != nil {
		return ErrUnknown
	}
	return nil
}

// State returns the job's state. Its error is ErrNoJob or ErrUnavailable.
func (s *Service) State(ctx context.Context, id dotterjob.ID) (dotterjob.State, error) {
	var reply stateReply
	err := s.callOwner(ctx, methodState, id, &reply)
	if err == nil && reply.Known {
		return reply.State, nil
	}
	return s.storedState(ctx, id)
}

// storedState derives the job's state from the store, for when the owner does not report it.
func (s *Service) storedState(ctx context.Context, id dotterjob.ID) (dotterjob.State, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	_, err := s.store.Get(call, JobKey(id))
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return "", ErrNoJob
	}
	if err != nil {
		return "", ErrUnavailable
	}
	progress, err := s.store.Get(call, ProgressKey(id))
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return dotterjob.Queued, nil
	}
	if err != nil {
		return "", ErrUnavailable
	}
	outcome, begun, err := dotterboard.Outcome(progress.Value)
	switch {
	case err != nil:
		s.logger.Error("cannot decode job progress", zap.String("Job", string(id)), zap.Error(err))
		return "", ErrUnavailable
	case outcome != "":
		return outcome, nil
	case begun:
		return dotterjob.Running, nil
	}
	return dotterjob.Queued, nil
}

// Pending returns the number of jobs of the queue that have no started task.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now(); s.pending == nil || now-s.pendingAt > pendingTTL {
		var reply pendingReply
		if err := s.callOwner(ctx, methodPending, nil, &reply); err != nil || !reply.Known {
			return 0, ErrUnavailable
		}
		s.pending, s.pendingAt = reply.Pending, now
		if s.pending == nil {
			s.pending = map[string]int{}
		}
	}
	return s.pending[queue], nil
}

// callOwner calls a method on the owner, which may be this host.
func (s *Service) callOwner(ctx context.Context, method string, args, reply any) error {
	owner, ok := s.elector.Owner()
	if !ok {
		return ErrUnavailable
	}
	if s.elector.Owning() {
		return s.callLocal(ctx, method, args, reply)
	}
	call, cancel := context.WithTimeout(ctx, ownerCallTimeout.Duration())
	defer cancel()
	err := s.links.Call(call, owner.Address, method, args, reply)
	if errors.Is(err, dotterlink.ErrRefused) {
		s.elector.Suspect(owner.Host)
	}
	if err != nil && ctx.Err() == nil {
		s.logger.Info("call to the owner failed", zap.String("Owner", owner.Host), zap.Int64("Epoch", owner.Epoch),
			zap.String("Method", method), zap.Int64("HeadReadMsAgo", int64(s.clock.Now()-s.elector.HeadReadAt())), zap.Error(err))
	}
	return err
}

// callLocal calls a method on this host, with the same encoding as a remote call.
func (s *Service) callLocal(ctx context.Context, method string, args, reply any) error {
	raw, err := json.Marshal(args)
	if err != nil {
		return err
	}
	answer, err := s.Methods()[method](ctx, raw)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, reply)
}
