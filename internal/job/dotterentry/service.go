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
	// ErrRefused means that nothing was accepted and never will be from this call.
	ErrRefused = eris.New("jobs: refused, nothing was accepted")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = eris.New("jobs: no answer from the store, the call may have taken effect")
	// ErrNoJob means that there is no such job.
	ErrNoJob = eris.New("jobs: no such job")
	// ErrUnavailable means that nobody who could answer can be reached.
	ErrUnavailable = eris.New("jobs: neither the owner nor the store can be reached")
)

const (
	// writeSpan bounds one conditional write; the store's usual answer takes some milliseconds.
	writeSpan = 600 * dotterclock.Millisecond
	// askSpan bounds a question to the owner.
	askSpan = 500 * dotterclock.Millisecond
	// pauseSpan is the pause before a call to the store is repeated.
	pauseSpan = 50 * dotterclock.Millisecond
	// pendingSpan is how long the numbers of pending jobs are kept.
	pendingSpan = 800 * dotterclock.Millisecond
	// lostSpan is how long the store may be silent before calls are refused without
	// asking it: two waits of the watch that every host keeps open.
	lostSpan = 2200 * dotterclock.Millisecond
)

// Service accepts jobs, cancels them and tells their states, safe for concurrent use.
type Service struct {
	store  dotterelusher.TransactionalStore
	links  *dotterlink.Client
	keeper *dotterhead.Elector
	clock  dotterelusher.Clock
	logger *zap.Logger
	board  func() *dotterboard.Board
	fresh  func() dotterclock.Millis

	mu        sync.Mutex
	pending   map[string]int
	pendingAt dotterclock.Millis
}

// New returns a service. board returns the board while this host owns the shard;
// fresh returns when the store last answered this host.
func New(store dotterelusher.TransactionalStore, links *dotterlink.Client, keeper *dotterhead.Elector, clock dotterelusher.Clock,
	logger *zap.Logger, board func() *dotterboard.Board, fresh func() dotterclock.Millis) *Service {
	return &Service{store: store, links: links, keeper: keeper, clock: clock, logger: logger, board: board, fresh: fresh}
}

// StoreUnavailable reports whether the store has been silent for too long to ask it.
func (s *Service) StoreUnavailable() bool {
	return s.clock.Now()-s.fresh() > lostSpan
}

// Submit accepts the job durably; a job accepted before stays as it is.
func (s *Service) Submit(ctx context.Context, j dotterjob.Job) error {
	sent := false
	if !s.StoreUnavailable() {
		var err error
		sent, err = s.submitHere(ctx, j)
		if err == nil || sent {
			return err
		}
	}
	return s.submitElsewhere(ctx, j)
}

// submitHere writes the job's key. sent reports whether the write may have taken effect.
func (s *Service) submitHere(ctx context.Context, j dotterjob.Job) (sent bool, err error) {
	value, err := json.Marshal(j)
	if err != nil {
		return false, err
	}
	t := dotterkey.Transaction{
		Expect: map[string]dotterkey.Version{JobKey(j.ID): 0},
		Puts:   []dotterkey.Entry{{Key: JobKey(j.ID), Value: value}},
	}
	return s.write(ctx, "submit", j.ID, t)
}

// write carries out a transaction that creates a key. That the key is there already counts as success.
func (s *Service) write(ctx context.Context, what string, id dotterjob.ID, t dotterkey.Transaction) (sent bool, err error) {
	const attempts = 3 // a store that gave no answer three times is taken to be away
	for attempt := 1; ; attempt++ {
		call, cancel := context.WithTimeout(ctx, writeSpan.Duration())
		_, _, err = s.store.Commit(call, t)
		cancel()
		if err == nil || errors.Is(err, dotterelusher.ErrStoreConflict) {
			return true, nil
		}
		sent = sent || errors.Is(err, dotterelusher.ErrStoreIndeterminate)
		s.logger.Info("write not confirmed", zap.String("Job", string(id)), zap.String("Call", what), zap.Int("Attempt", attempt),
			zap.Bool("MayHaveTakenEffect", sent), zap.Int64("StoreFreshMsAgo", int64(s.clock.Now()-s.fresh())), zap.Error(err))
		if attempt == attempts || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(pauseSpan):
		}
	}
	if sent {
		return true, ErrUnknown
	}
	return false, ErrRefused
}

// submitElsewhere passes the job to the owner's host.
func (s *Service) submitElsewhere(ctx context.Context, j dotterjob.Job) error {
	var reply submitReply
	err := s.ask(ctx, methodSubmit, j, &reply)
	switch {
	case err == nil && reply.Accepted:
		s.logger.Info("submitted through the owner", zap.String("Job", string(j.ID)))
		return nil
	case err == nil && reply.Unknown, errors.Is(err, dotterlink.ErrNoAnswer):
		return ErrUnknown
	}
	return ErrRefused
}

// Cancel cancels the job durably; it returns ErrNoJob, ErrUnknown or ErrUnavailable.
func (s *Service) Cancel(ctx context.Context, id dotterjob.ID) error {
	err := s.cancelHere(ctx, id)
	if !errors.Is(err, ErrUnavailable) || s.keeper.Owning() {
		return err
	}
	var reply submitReply
	if err := s.ask(ctx, methodCancel, id, &reply); err != nil || !reply.Accepted {
		return ErrUnavailable
	}
	if reply.NoJob {
		return ErrNoJob
	}
	return nil
}

// cancelHere writes the key of the cancellation; ErrUnavailable means that nothing was written.
func (s *Service) cancelHere(ctx context.Context, id dotterjob.ID) error {
	call, cancel := context.WithTimeout(ctx, writeSpan.Duration())
	entry, err := s.store.Get(call, JobKey(id))
	cancel()
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return ErrNoJob
	}
	if err != nil {
		s.logger.Info("cancellation can't be stored here", zap.String("Job", string(id)), zap.Error(err))
		return ErrUnavailable
	}
	t := dotterkey.Transaction{
		Expect: map[string]dotterkey.Version{JobKey(id): entry.Version, CancelKey(id): 0},
		Puts:   []dotterkey.Entry{{Key: CancelKey(id), Value: []byte("{}")}},
	}
	if sent, err := s.write(ctx, "cancel", id, t); err != nil && !sent {
		return ErrUnavailable
	} else if err != nil {
		return ErrUnknown
	}
	return nil
}

// State returns the job's state, ErrNoJob or ErrUnavailable.
func (s *Service) State(ctx context.Context, id dotterjob.ID) (dotterjob.State, error) {
	var reply stateReply
	err := s.ask(ctx, methodState, id, &reply)
	if err == nil && reply.Known {
		return reply.State, nil
	}
	return s.storedState(ctx, id)
}

// storedState returns what the store tells of a job that the owner did not tell about.
func (s *Service) storedState(ctx context.Context, id dotterjob.ID) (dotterjob.State, error) {
	call, cancel := context.WithTimeout(ctx, writeSpan.Duration())
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
		s.logger.Error("progress of a job can't be read", zap.String("Job", string(id)), zap.Error(err))
		return "", ErrUnavailable
	case outcome != "":
		return outcome, nil
	case begun:
		return dotterjob.Running, nil
	}
	return dotterjob.Queued, nil
}

// Pending returns how many jobs of the queue have no task started.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock.Now(); s.pending == nil || now-s.pendingAt > pendingSpan {
		var reply pendingReply
		if err := s.ask(ctx, methodPending, nil, &reply); err != nil || !reply.Known {
			return 0, ErrUnavailable
		}
		s.pending, s.pendingAt = reply.Pending, now
		if s.pending == nil {
			s.pending = map[string]int{}
		}
	}
	return s.pending[queue], nil
}

// ask puts a question to the owner, which may be this host.
func (s *Service) ask(ctx context.Context, method string, args, reply any) error {
	owner, ok := s.keeper.Owner()
	if !ok {
		return ErrUnavailable
	}
	if s.keeper.Owning() {
		return s.askHere(ctx, method, args, reply)
	}
	call, cancel := context.WithTimeout(ctx, askSpan.Duration())
	defer cancel()
	err := s.links.Call(call, owner.Address, method, args, reply)
	if errors.Is(err, dotterlink.ErrRefused) {
		s.keeper.Suspect(owner.Host)
	}
	if err != nil && ctx.Err() == nil {
		s.logger.Info("owner not asked", zap.String("Owner", owner.Host), zap.Int64("Epoch", owner.Epoch),
			zap.String("Method", method), zap.Int64("HeadReadMsAgo", int64(s.clock.Now()-s.keeper.ReadAt())), zap.Error(err))
	}
	return err
}

// askHere answers a question of this host itself, which goes through the same encoding.
func (s *Service) askHere(ctx context.Context, method string, args, reply any) error {
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
