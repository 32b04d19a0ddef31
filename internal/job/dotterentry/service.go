package dotterentry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhead"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterlink"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// Errors of a Service.
var (
	// ErrRefused means that the call had no effect and never will.
	ErrRefused = eris.New("jobs: refused, nothing was accepted")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = eris.New("jobs: no answer from the store, the call may have taken effect")
	// ErrNoJob means that there is no such job.
	ErrNoJob = eris.New("jobs: no such job")
	// ErrOtherTenant means that the caller may not access the job with this id. Callers are
	// told of their own submission only; otherwise the job does not exist for them.
	ErrOtherTenant = eris.New("jobs: the id is in use, choose another one")
	// ErrUnavailable means that neither the owner nor the store can be reached.
	ErrUnavailable = eris.New("jobs: neither the owner nor the store can be reached")
)

// errConflict means that a transaction had no effect because a key was not as expected.
var errConflict = eris.New("jobs: a key was not as expected")

const (
	// storeCallTimeout bounds one call to the store, which usually answers within milliseconds.
	storeCallTimeout = 600 * dotterclock.Millisecond
	// ownerCallTimeout bounds one call to an owner.
	ownerCallTimeout = 500 * dotterclock.Millisecond
	// retryDelay is the delay before a call to the store is retried for the first time. It
	// grows by as much with each attempt.
	retryDelay = 50 * dotterclock.Millisecond
	// maxRetryDelay bounds that delay.
	maxRetryDelay = 300 * dotterclock.Millisecond
	// maxPendingAge is how long ago a head may have been seen to change whose counts of pending
	// jobs are used. Callers may get counts that are two seconds old, and a head is half a
	// second old when it is seen.
	maxPendingAge = 1400 * dotterclock.Millisecond
	// storeUnavailableTimeout is how long the store may give no answer before it counts as
	// unavailable and is not called: twice the wait of the watch that every host keeps open.
	storeUnavailableTimeout = 2200 * dotterclock.Millisecond
	// writeAttempts is how often a write is tried that the store has certainly not received.
	writeAttempts = 3
	// cancelAttempts is how often a cancellation is tried for a job whose home changes meanwhile.
	cancelAttempts = 3
	// forwardAttempts bounds the owners that are asked on behalf of a host without the store.
	forwardAttempts = 2
	// maxForwarded is the limit of calls of other hosts that change something and are under way. All hosts that
	// cannot reach the store send theirs to one; it is below what a link handles at a time, so that questions pass.
	maxForwarded = 32
	// maxHomes bounds the jobs whose homes are remembered, some 100 bytes each.
	maxHomes = 8192
)

// Boards finds the boards of the shards that this host owns.
type Boards interface {
	// Board returns the shard's board, or nil if this host does not own the shard.
	Board(shard string) *dotterboard.Board
	// Home chooses the home of a new job, or returns false if no shard is known yet.
	Home(j dotterjob.Job) (shard string, ok bool)
	// Admission decides whether a new job is refused under overload.
	Admission(j dotterjob.Job) dotteradmission.Decision
	// Queue returns the queue with the name, or false if there is none.
	Queue(name string) (dotterqueues.Queue, bool)
	// TenantCap returns the cap of the tenant that is in force on this host, zero if there is
	// none, and the version of the configuration that has it.
	TenantCap(tenant string) (limit dotterroom.Room, version int64)
}

// StoreHealth tells what this host knows of the store from a watch that it keeps open.
type StoreHealth interface {
	// FreshAt returns when the store last answered, 0 if it never did.
	FreshAt() dotterclock.Millis
	// Failing reports whether the last call to the store failed.
	Failing() bool
}

// Service accepts and cancels jobs and reports their states. It is safe for concurrent use.
type Service struct {
	store     dotterelusher.TransactionalStore
	links     *dotterlink.Client
	elector   *dotterhead.Elector
	clock     dotterelusher.Clock
	logger    *zap.Logger
	boards    Boards
	health    StoreHealth
	fullLines *rate.Limiter                    // log lines of jobs refused by full shards
	failed    atomic.Int64                     // when a call of this service to the store last failed
	homes     *lru.Cache[dotterjob.ID, string] // last known homes of jobs

	forwarded chan struct{} // one token for each call of another host that changes something

	mu       sync.Mutex
	retries  *dotteradmission.RetrySchedule // of callers refused under overload
	refusals map[Refusal]int64              // under overload, because of a cap, or by a full shard
	accepted map[string]acceptances         // by shard
}

// New returns a service.
func New(store dotterelusher.TransactionalStore, links *dotterlink.Client, elector *dotterhead.Elector, clock dotterelusher.Clock,
	logger *zap.Logger, boards Boards, health StoreHealth) *Service {
	homes, err := lru.New[dotterjob.ID, string](maxHomes)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Service{
		store: store, links: links, elector: elector, clock: clock, logger: logger, boards: boards, health: health, homes: homes,
		retries: dotteradmission.NewRetrySchedule(), refusals: map[Refusal]int64{}, accepted: map[string]acceptances{},
		fullLines: rate.NewLimiter(maxFullLines, maxFullLines), forwarded: make(chan struct{}, maxForwarded),
	}
}

// StoreUnavailable reports whether the store has not answered for storeUnavailableTimeout.
func (s *Service) StoreUnavailable() bool {
	return s.clock.Now()-s.health.FreshAt() > storeUnavailableTimeout
}

// storeFails reports whether the last call of this host to the store failed. A watch that
// waits for its answer shows a silent store only after a second or more.
func (s *Service) storeFails() bool {
	return s.health.Failing() || dotterclock.Millis(s.failed.Load()) > s.health.FreshAt()
}

// Submit accepts the job durably; a job that was accepted before is left unchanged. Its
// error is ErrRefused, which may be an *OverloadError, ErrUnknown, or ErrOtherTenant if that job
// is not the caller's.
func (s *Service) Submit(ctx context.Context, caller dotterjob.Caller, j dotterjob.Job) error {
	shard, ok := s.boards.Home(j)
	if !ok {
		return eris.Wrap(ErrRefused, "the shards are not known yet")
	}
	if err := s.admit(ctx, shard, j); err != nil {
		return err
	}
	if q, ok := s.boards.Queue(j.Queue); ok && j.Settings == nil {
		settings := q.Settings()
		j.Settings = &settings
	}
	if !s.StoreUnavailable() {
		err := s.submitLocally(ctx, caller, shard, j)
		if !errors.Is(err, ErrRefused) {
			return err
		}
	}
	return s.forwardSubmit(ctx, caller, shard, j)
}

// submitLocally creates the job in the shard. While the store fails, it reads first: a write
// that gets no answer leaves the caller without a truthful refusal, a read does not.
func (s *Service) submitLocally(ctx context.Context, caller dotterjob.Caller, shard string, j dotterjob.Job) error {
	value, err := json.Marshal(j)
	if err != nil {
		return eris.Wrap(ErrRefused, err.Error())
	}
	if s.storeFails() {
		switch home, _, err := s.readHome(ctx, j.ID); {
		case err == nil && !caller.MayAccess(home.Tenant):
			return ErrOtherTenant
		case err == nil: // accepted before
			return nil
		case !errors.Is(err, ErrNoJob):
			return eris.Wrap(ErrRefused, "the store does not answer")
		}
	}
	t := dotterkey.Transaction{
		Expect: map[string]dotterkey.Version{HomeKey(j.ID): 0},
		Puts:   []dotterkey.Entry{{Key: HomeKey(j.ID), Value: Home{Shard: shard, Tenant: j.Tenant}.Value()}, {Key: JobKey(shard, j.ID), Value: value}},
	}
	current, err := s.write(ctx, "submit", j.ID, t)
	switch {
	case errors.Is(err, errConflict): // accepted before, perhaps in another shard
		return s.checkAccepted(ctx, caller, j.ID, current)
	case err == nil:
		s.homes.Add(j.ID, shard)
		s.noteAccepted(shard, j)
	}
	return err
}

// checkAccepted returns nil if the caller may access the job whose home prevented a
// submission, as found in the current entries. Its error is ErrOtherTenant or ErrUnknown.
func (s *Service) checkAccepted(ctx context.Context, caller dotterjob.Caller, id dotterjob.ID, current []dotterkey.Entry) error {
	if !caller.Restricted {
		return nil
	}
	i := slices.IndexFunc(current, func(e dotterkey.Entry) bool { return e.Key == HomeKey(id) && e.Version != 0 })
	var home Home
	var err error
	if i >= 0 {
		home, err = s.parseHome(id, current[i].Value)
	} else {
		home, _, err = s.readHome(ctx, id)
	}
	switch {
	case err != nil:
		return ErrUnknown
	case !caller.MayAccess(home.Tenant):
		return ErrOtherTenant
	}
	return nil
}

// write commits the transaction, and repeats it. Once it may have taken effect, it is repeated
// until ctx ends, since callers cannot repeat a call whose outcome is unknown. Its error is
// errConflict with the current entries of the keys in Expect, ErrUnknown or ErrRefused.
func (s *Service) write(ctx context.Context, operation string, id dotterjob.ID, t dotterkey.Transaction) ([]dotterkey.Entry, error) {
	sent := false
	for attempt := 1; ; attempt++ {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		_, current, err := s.store.Commit(call, t)
		cancel()
		switch {
		case err == nil:
			return nil, nil
		case errors.Is(err, dotterelusher.ErrStoreConflict):
			return current, errConflict
		}
		s.failed.Store(int64(s.clock.Now()))
		sent = sent || errors.Is(err, dotterelusher.ErrStoreIndeterminate)
		s.logger.Info("write not confirmed", zap.String("Job", string(id)), zap.String("Call", operation), zap.Int("Attempt", attempt),
			zap.Bool("MayHaveTakenEffect", sent), zap.Int64("StoreFreshMsAgo", int64(s.clock.Now()-s.health.FreshAt())), zap.Error(err))
		if ctx.Err() != nil || !sent && attempt >= writeAttempts {
			break
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(min(maxRetryDelay, dotterclock.Millis(attempt)*retryDelay)):
		}
	}
	if sent {
		return nil, ErrUnknown
	}
	return nil, ErrRefused
}

// forwardSubmit submits the job through the host of an owner, that of the shard first.
func (s *Service) forwardSubmit(ctx context.Context, caller dotterjob.Caller, shard string, j dotterjob.Job) error {
	reply, err := s.forward(ctx, shard, methodSubmit, submission{j, caller})
	switch {
	case err != nil:
		return err
	case reply.Accepted:
		s.logger.Info("job submitted through an owner", zap.String("Job", string(j.ID)), zap.String("Shard", shard))
		return nil
	case reply.OtherTenant:
		return ErrOtherTenant
	case reply.Unknown:
		return ErrUnknown
	}
	return ErrRefused
}

// forward makes a call that changes something through the host of an owner: that of the
// shard, or the next one if that cannot be reached. Its error is ErrUnknown or ErrRefused.
func (s *Service) forward(ctx context.Context, shard, method string, args any) (writeReply, error) {
	shards := append([]string{shard}, s.elector.Shards()...)
	tried := map[string]bool{} // hosts
	for _, next := range shards {
		owner, ok := s.elector.Owner(next)
		if !ok || tried[owner.Host] || s.elector.Owning(next) || len(tried) == forwardAttempts {
			continue
		}
		tried[owner.Host] = true
		var reply writeReply
		err := s.callOwner(ctx, next, method, args, &reply)
		switch {
		case err == nil:
			return reply, nil
		case errors.Is(err, dotterlink.ErrNoAnswer), errors.Is(err, dotterlink.ErrRemote):
			return writeReply{}, ErrUnknown
		}
	}
	return writeReply{}, ErrRefused
}

// Cancel cancels the job durably. Its error is ErrNoJob, ErrOtherTenant, ErrUnknown or
// ErrUnavailable.
func (s *Service) Cancel(ctx context.Context, caller dotterjob.Caller, id dotterjob.ID) error {
	if !s.StoreUnavailable() {
		err := s.cancelLocally(ctx, caller, id)
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
	}
	shard, _ := s.homes.Get(id)
	reply, err := s.forward(ctx, shard, methodCancel, cancellation{id, caller})
	switch {
	case errors.Is(err, ErrUnknown) || err == nil && reply.Unknown:
		return ErrUnknown
	case err != nil:
		return ErrUnavailable
	case reply.OtherTenant:
		return ErrOtherTenant
	case reply.NoJob:
		return ErrNoJob
	case reply.Accepted:
		return nil
	}
	return ErrUnavailable
}

// cancelLocally creates the cancellation's key. ErrUnavailable means that nothing was written.
func (s *Service) cancelLocally(ctx context.Context, caller dotterjob.Caller, id dotterjob.ID) error {
	for range cancelAttempts {
		home, version, err := s.readHome(ctx, id)
		if err != nil {
			return err
		}
		if !caller.MayAccess(home.Tenant) {
			return ErrOtherTenant
		}
		t := dotterkey.Transaction{
			Expect: map[string]dotterkey.Version{HomeKey(id): version, CancelKey(id): 0},
			Puts:   []dotterkey.Entry{{Key: CancelKey(id), Value: []byte("{}")}},
		}
		current, err := s.write(ctx, "cancel", id, t)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrRefused):
			return ErrUnavailable
		case !errors.Is(err, errConflict):
			return err
		case slices.ContainsFunc(current, func(e dotterkey.Entry) bool { return e.Key == CancelKey(id) }):
			return nil // cancelled before, or by an attempt whose answer was lost
		}
	}
	return ErrUnavailable
}

// readHome reads the home of the job from the store and returns it with the version of its
// key. Its error is ErrNoJob or ErrUnavailable.
func (s *Service) readHome(ctx context.Context, id dotterjob.ID) (Home, dotterkey.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	e, err := s.store.Get(call, HomeKey(id))
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return Home{}, 0, ErrNoJob
	}
	if err != nil {
		s.failed.Store(int64(s.clock.Now()))
		s.logger.Info("home of the job not read", zap.String("Job", string(id)), zap.Error(err))
		return Home{}, 0, ErrUnavailable
	}
	home, err := s.parseHome(id, e.Value)
	if err != nil {
		return Home{}, 0, ErrUnavailable
	}
	s.homes.Add(id, home.Shard)
	return home, e.Version, nil
}

// parseHome decodes the home of a job and logs an error. Whose job it is is not known then.
func (s *Service) parseHome(id dotterjob.ID, value []byte) (Home, error) {
	home, err := ParseHome(value)
	if err != nil {
		s.logger.Error("home of the job not decoded", zap.String("Job", string(id)), zap.Error(err))
	}
	return home, err
}

// State returns the job's state. Its error is ErrNoJob, ErrOtherTenant or ErrUnavailable.
func (s *Service) State(ctx context.Context, caller dotterjob.Caller, id dotterjob.ID) (dotterjob.State, error) {
	state, tenant, err := s.find(ctx, id)
	switch {
	case err != nil:
		return "", err
	case !caller.MayAccess(tenant):
		return "", ErrOtherTenant
	}
	return state, nil
}

// find returns the job's state and its tenant. Its error is ErrNoJob or ErrUnavailable.
func (s *Service) find(ctx context.Context, id dotterjob.ID) (state dotterjob.State, tenant string, err error) {
	remembered, ok := s.homes.Get(id)
	if ok {
		if state, tenant, known := s.stateAt(ctx, remembered, id); known {
			return state, tenant, nil
		}
	}
	if s.StoreUnavailable() {
		return s.stateAnywhere(ctx, id)
	}
	home, _, err := s.readHome(ctx, id)
	if err != nil {
		return "", "", err
	}
	if home.Shard != remembered {
		if state, tenant, known := s.stateAt(ctx, home.Shard, id); known {
			return state, tenant, nil
		}
	}
	state, err = s.storedState(ctx, home.Shard, id)
	return state, home.Tenant, err
}

// stateAt asks the owner of the shard for the job's state and its tenant. It returns false if
// the owner cannot be reached or is not the job's home.
func (s *Service) stateAt(ctx context.Context, shard string, id dotterjob.ID) (dotterjob.State, string, bool) {
	var reply stateReply
	err := s.callOwner(ctx, shard, methodState, id, &reply)
	return reply.State, reply.Tenant, err == nil && reply.Known
}

// stateAnywhere asks all owners, for a host that cannot read the job's home.
func (s *Service) stateAnywhere(ctx context.Context, id dotterjob.ID) (state dotterjob.State, tenant string, err error) {
	for _, shard := range s.elector.Shards() {
		if state, tenant, known := s.stateAt(ctx, shard, id); known {
			s.homes.Add(id, shard)
			return state, tenant, nil
		}
	}
	return "", "", ErrUnavailable
}

// storedState derives the job's state from the store, for when the owner does not report it.
func (s *Service) storedState(ctx context.Context, shard string, id dotterjob.ID) (dotterjob.State, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	progress, err := s.store.Get(call, ProgressKey(shard, id))
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

// Pending returns the number of jobs of the queue that have no started task. Owners publish
// it with their heads; one whose head this host has not seen change recently is asked. It is
// ErrUnavailable if any owner neither publishes nor answers, since an old count may be far
// from the present one.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	shards := s.elector.Shards()
	if len(shards) == 0 {
		return 0, ErrUnavailable
	}
	sum := 0
	for _, shard := range shards {
		owner, ok := s.elector.Owner(shard)
		counts := owner.Vacancy.Pending
		if !ok || !owner.Vacancy.Published || s.clock.Now()-s.elector.SeenAt(shard) > maxPendingAge {
			var reply pendingReply
			if err := s.callOwner(ctx, shard, methodPending, shard, &reply); err != nil || !reply.Known {
				return 0, ErrUnavailable
			}
			counts = reply.Pending
		}
		sum += counts[queue]
	}
	return sum, nil
}

// callOwner calls a method on the shard's owner, which may be this host.
func (s *Service) callOwner(ctx context.Context, shard, method string, args, reply any) error {
	owner, ok := s.elector.Owner(shard)
	if !ok {
		return ErrUnavailable
	}
	if s.elector.Owning(shard) {
		return s.callLocal(ctx, method, args, reply)
	}
	call, cancel := context.WithTimeout(ctx, ownerCallTimeout.Duration())
	defer cancel()
	err := s.links.Call(call, owner.Address, method, args, reply)
	if errors.Is(err, dotterlink.ErrRefused) {
		s.elector.Suspect(shard, owner.Host)
	}
	if err != nil && ctx.Err() == nil {
		s.logger.Info("call to the owner failed", zap.String("Shard", shard), zap.String("Owner", owner.Host), zap.Int64("Epoch", owner.Epoch),
			zap.String("Method", method), zap.Int64("HeadReadMsAgo", int64(s.clock.Now()-s.elector.ReadAt())), zap.Error(err))
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
