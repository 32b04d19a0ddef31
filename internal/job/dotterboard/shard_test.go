package dotterboard

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandpool"
)

const (
	testQueue   = "callers.example/quick/"
	lowQueue    = "callers.example/slow/"
	testService = "pool"
	testLease   = 6 * dotterclock.Second
)

var testSettings = Settings{
	LeaseDuration: testLease, MaxOverTarget: 4000, RetentionDuration: 120_000, DirectoryGrace: 2500, RemoteSlowdown: 3,
}

// shard is a board with its stored state and a pool of workers, on a clock that the test
// advances.
type shard struct {
	settings Settings
	t        *testing.T
	clock    *dotterclock.Manual
	pool     *dotterstandpool.Pool
	board    *Board
	epoch    int64
	accepted []dotterjob.Job
	stored   map[dotterjob.ID][]byte
	parts    map[PartKey][]byte
	storeUp  bool // whether batches are stored
	tenants  []dotterqueues.Tenant
	oneBatch bool // whether a tick stores one batch at most

	answersHeld bool   // whether the store's answers to commits that hand tasks over are held back
	unanswered  *Batch // stored, and not answered yet; nothing else is stored meanwhile

	batches, storedBytes int                        // stored so far
	mostUsed             map[string]dotterroom.Room // by tenant: what has run at the same time at most

	directoryStale bool                          // whether the directory cannot be read
	deaf           bool                          // whether no cancellations arrive
	document       dotterqueues.Document         // configuration of the owners from the next one on
	learned        []byte                        // the stored interference model; nil: none
	renewedAt      map[string]dotterclock.Millis // by worker

	name       string
	federation *federation // with other shards; nil: none
	allotments []byte      // the stored parts of the tenants' caps; nil: none
}

func newShard(t *testing.T, workers int) *shard {
	return newShardWith(t, testSettings, workers)
}

// newShardWith returns a shard with other settings than testSettings.
func newShardWith(t *testing.T, settings Settings, workers int) *shard {
	s := &shard{
		settings: settings, t: t, clock: dotterclock.NewManual(1_000_000), stored: map[dotterjob.ID][]byte{}, parts: map[PartKey][]byte{}, storeUp: true, mostUsed: map[string]dotterroom.Room{}, document: testDocument(),
	}
	s.pool = dotterstandpool.New(s.clock, testLease)
	for i := range workers {
		s.pool.Add(testWorker(i))
	}
	s.takeOver(0)
	return s
}

func testWorker(i int) dotterworker.Worker {
	return dotterworker.Worker{
		ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Service: testService,
		FailureDomain: string(rune('a' + i%3)), Rack: fmt.Sprintf("r%d", i/2), Labels: []string{"kind", fmt.Sprintf("r%d", i/2)},
		Capacity: dotterroom.Room{MilliCores: 64_000, MemoryMB: 250_000},
	}
}

func testDocument() dotterqueues.Document {
	return dotterqueues.NewDocument(7, []dotterqueues.Queue{
		{Host: "callers.example", Prefix: "/quick/", Service: testService, MaxAttempts: 2, Stretch: 1.5, Target: 250},
		{Host: "callers.example", Prefix: "/slow/", Service: testService, Rank: 2, MaxAttempts: 2, Stretch: 2, Target: 1000},
	}, map[string]dotterqueues.Service{testService: {RejectsOverload: true}}, dotterqueues.Limits{})
}

// takeOver replaces the owner by a successor that restores the stored state. The previous
// owner may renew leases during window.
func (s *shard) takeOver(window dotterclock.Millis) {
	s.epoch++
	now := s.clock.Now()
	s.board = New(s.settings, s.epoch, now, now+window, zap.NewNop())
	s.board.Configure(s.document.WithTenants(s.tenants), map[string]bool{})
	if s.federation != nil {
		s.board.SetShard(s.name, slices.Index(s.federation.names, s.name), len(s.federation.names))
	}
	if s.allotments != nil {
		require.NoError(s.t, s.board.RestoreAllotments(s.allotments))
	}
	for _, j := range s.accepted {
		s.board.Accept(now, now-j.AcceptedAt, j)
	}
	for id, record := range s.stored {
		require.NoError(s.t, s.board.Restore(now, id, record))
	}
	for key, value := range s.parts {
		require.NoError(s.t, s.board.RestorePart(now, key, value))
	}
	if s.federation != nil {
		s.federation.follow(s)
	}
	if s.learned != nil {
		require.NoError(s.t, s.board.RestoreLearned(now, s.learned))
	}
	s.renewedAt = map[string]dotterclock.Millis{}
	s.unanswered = nil
}

// submit accepts a job with the given steps.
func (s *shard) submit(number int, steps ...dotterjob.Step) dotterjob.ID {
	return s.submitTo(testQueue, number, steps...)
}

func (s *shard) submitTo(queue string, number int, steps ...dotterjob.Step) dotterjob.ID {
	return s.accept(queue, number, 0, steps)
}

// submitAged accepts a job with one step, as accepted age ago.
func (s *shard) submitAged(number int, age dotterclock.Millis, step dotterjob.Step) dotterjob.ID {
	return s.accept(testQueue, number, age, []dotterjob.Step{step})
}

// submitDeclared accepts a job with one step, which declares another run time than its
// tasks take.
func (s *shard) submitDeclared(number int, declared dotterclock.Millis, step dotterjob.Step) dotterjob.ID {
	s.pool.AddJob(s.job(testQueue, number, 0, []dotterjob.Step{step}))
	step.Estimate = declared
	return s.register(s.job(testQueue, number, 0, []dotterjob.Step{step}), 0)
}

func (s *shard) job(queue string, number int, age dotterclock.Millis, steps []dotterjob.Step) dotterjob.Job {
	return dotterjob.Job{
		ID: dotterjob.ID(fmt.Sprintf("%016x", number)), Queue: queue, AcceptedAt: s.clock.Now() - age, Spec: fmt.Sprintf("spec %d", number), Steps: steps,
	}
}

func (s *shard) accept(queue string, number int, age dotterclock.Millis, steps []dotterjob.Step) dotterjob.ID {
	j := s.job(queue, number, age, steps)
	s.pool.AddJob(j)
	return s.register(j, age)
}

// register adds the job to the board and to the jobs that a successor restores.
func (s *shard) register(j dotterjob.Job, age dotterclock.Millis) dotterjob.ID {
	require.NoError(s.t, j.Check())
	s.accepted = append(s.accepted, j)
	s.board.Accept(s.clock.Now(), age, j)
	return j.ID
}

// run advances the clock by duration in steps of 10 ms.
func (s *shard) run(duration dotterclock.Millis) {
	const step = 10 * dotterclock.Millisecond
	for range duration / step {
		s.tick()
		s.clock.Advance(step)
	}
	s.tick()
}

// until runs until the condition holds, and fails the test if it does not within timeout.
func (s *shard) until(timeout dotterclock.Millis, condition func() bool) {
	s.t.Helper()
	for end := s.clock.Now() + timeout; s.clock.Now() < end; s.run(10) {
		if condition() {
			return
		}
	}
	require.Fail(s.t, "condition not met in time")
}

// requireConsistent requires that the counts of each job agree with its tasks.
func (s *shard) requireConsistent() {
	s.t.Helper()
	for id, j := range s.board.jobs {
		bound := 0
		j.forEachTask(func(t *task) {
			if t.isBound() {
				bound++
			}
		})
		require.Equal(s.t, bound, j.runs, "count of bound tasks of job %s", id)
	}
	uses := map[string]dotterquota.Use{}
	count := func(tenant string, size dotterroom.Room, lasting bool) {
		u := uses[tenant]
		u.Room, u.Runs = u.Room.Add(size), u.Runs+1
		if lasting {
			u.Lasting, u.LastingRuns = u.Lasting.Add(size), u.LastingRuns+1
		}
		uses[tenant] = u
	}
	for id, w := range s.board.workers {
		trials := 0
		for _, r := range w.unknownRuns {
			count(r.tenant, r.size, false)
		}
		for _, t := range w.runs {
			count(t.job().Tenant, t.step.Size, t.step.LongRunning)
		}
		for _, t := range w.runs {
			if t.onTrial {
				trials++
			}
		}
		require.Equal(s.t, trials, w.trials, "count of runs on trial on worker %s", id)
	}
	require.Len(s.t, s.board.quota.uses.Names(), len(uses), "tenants of which something may run")
	for tenant, use := range uses {
		require.Equal(s.t, use, s.board.quota.uses.Of(tenant), "what may run of tenant %s", tenant)
	}
}

// tick performs each of the owner's periodic actions once.
func (s *shard) tick() {
	defer s.requireConsistent()
	now := s.clock.Now()
	if !s.directoryStale {
		s.board.UpdateDirectory(now, s.listed())
		s.board.SetDirectoryFresh(now)
	}
	if !s.deaf {
		s.board.SetCancellationsFresh(now)
	}
	if s.federation != nil {
		s.federation.follow(s)
	}
	for _, w := range s.board.Sessions() {
		s.renew(w)
	}
	s.board.Plan(now, now)
	s.commit()
	for _, w := range s.board.Sessions() {
		for {
			o, ok := s.board.NextOrder(now, w.ID)
			if !ok {
				break
			}
			s.deliver(o)
		}
	}
}

// listed returns the shard's workers in the directory.
func (s *shard) listed() map[string]dotterworker.Worker {
	listed := s.pool.Listed()
	if s.federation != nil {
		maps.DeleteFunc(listed, func(_ string, w dotterworker.Worker) bool { return w.FailureDomain != s.name })
	}
	return listed
}

// renew renews the lease of a worker every 100 ms. The platform's workers answer at once
// when a run has ended.
func (s *shard) renew(w dotterworker.Worker) {
	now := s.clock.Now()
	if at, ok := s.renewedAt[w.ID]; ok && now-at < 100 {
		return
	}
	s.renewedAt[w.ID] = now
	renewal, ok := s.board.Renewal(now, w.ID)
	if !ok {
		return
	}
	renewal.Wait = 0
	listing, err := s.pool.Renew(context.Background(), w, renewal)
	if err != nil {
		s.board.RenewalFailed(now, w.ID, err)
		return
	}
	s.board.HandleListing(now, now, w.ID, listing)
}

// commit stores all pending changes, unless the store is down.
func (s *shard) commit() {
	for s.storeUp && s.unanswered == nil && s.board.Dirty() && !s.commitBatch() {
	}
}

// commitBatch stores a batch of the pending changes, which the platform's store must accept. It
// returns whether the test has only one stored at a time.
func (s *shard) commitBatch() bool {
	batch, err := s.board.Batch(30)
	require.NoError(s.t, err)
	s.batches++
	entries := len(batch.Records) + len(batch.Parts)
	for _, record := range batch.Records {
		require.LessOrEqual(s.t, len(record), dotterkey.MaxValueBytes)
		s.storedBytes += len(record)
	}
	for _, c := range batch.Parts {
		require.LessOrEqual(s.t, len(c.Value), dotterkey.MaxValueBytes)
		s.storedBytes += len(c.Value)
		if c.Value == nil {
			delete(s.parts, c.PartKey)
		} else {
			s.parts[c.PartKey] = c.Value
		}
	}
	require.LessOrEqual(s.t, entries, 30)
	maps.Copy(s.stored, batch.Records)
	s.accepted = slices.DeleteFunc(s.accepted, func(j dotterjob.Job) bool { return slices.Contains(batch.Closed, j.ID) })
	if s.federation != nil {
		s.federation.store(s, batch)
	}
	if s.answersHeld && len(batch.Transfers) > 0 {
		s.unanswered = batch
		return true
	}
	s.board.HandleCommitted(s.clock.Now(), batch)
	return s.oneBatch
}

// answer delivers the store's answer to the last commit, and all later ones at once.
func (s *shard) answer() {
	if s.unanswered != nil {
		s.board.HandleCommitted(s.clock.Now(), s.unanswered)
	}
	s.answersHeld, s.unanswered = false, nil
}

// deliver sends an order to its worker and passes the answer to the board.
func (s *shard) deliver(o *Order) {
	ctx := context.Background()
	switch {
	case o.Start != nil:
		a, err := s.pool.Start(ctx, o.Worker, *o.Start)
		s.board.OrderAnswered(s.clock.Now(), o, a, err)
	case o.Stop != nil:
		a, err := s.pool.Stop(ctx, o.Worker, *o.Stop)
		s.board.OrderAnswered(s.clock.Now(), o, a, err)
	case o.Pace != nil:
		a, err := s.pool.Pace(ctx, o.Worker, *o.Pace)
		s.board.OrderAnswered(s.clock.Now(), o, a, err)
	}
}

// state returns the state of a job that the board must have.
func (s *shard) state(id dotterjob.ID) dotterjob.State {
	state, _, ok := s.board.State(id)
	require.True(s.t, ok, "unknown job %s", id)
	return state
}

// stateIs returns a condition that holds if the job has the state.
func (s *shard) stateIs(id dotterjob.ID, state dotterjob.State) func() bool {
	return func() bool { return s.state(id) == state }
}

// workersOf returns the worker of each running task of the job, sorted.
func (s *shard) workersOf(id dotterjob.ID) []string {
	var ids []string
	for worker, runs := range s.pool.Running() {
		for _, r := range runs {
			if r.Task.Job == id {
				ids = append(ids, worker)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// requireNoViolations requires that the pool has seen no violated invariant.
func (s *shard) requireNoViolations() {
	s.t.Helper()
	require.Empty(s.t, s.pool.Violations())
}

// tasks returns a step of count tasks that each take duration.
func tasks(count int, duration dotterclock.Millis) dotterjob.Step {
	return dotterjob.Step{Count: count, Estimate: duration, Size: dotterroom.Room{MilliCores: 4000, MemoryMB: 8000}}
}
