package dotterservice

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrouter"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 2 * time.Millisecond
)

func hosts(count int) []dotterhost.Host {
	list := make([]dotterhost.Host, count)
	for i := range list {
		list[i] = dotterhost.Host{Name: fmt.Sprintf("b%d", i), Incarnation: 1}
	}
	return list
}

// newTestService returns a service with the given number of servers and of slots
// per server. Its clock only advances when the test advances it.
func newTestService(servers, slots int, settings Settings) (*Service, *dotterfake.Permits, *dotterclock.Manual) {
	clock := dotterclock.NewManual(1000)
	permits := dotterfake.NewPermits(slots, 64)
	s := New(clock, permits, dotterrouter.NewPowerOfTwo(1), settings)
	s.Update(hosts(servers), 0, false)
	return s, permits, clock
}

// acquireSlots acquires count slots, which must be free, and reports a latency of
// 100 ms for each.
func acquireSlots(t *testing.T, s *Service, count int) []*Grant {
	t.Helper()
	grants := make([]*Grant, count)
	for i := range grants {
		g, err := s.Acquire(context.Background(), SlotRequest{Deadline: 100_000})
		require.NoError(t, err)
		g.Report(dotterelusher.RouteResult{At: 1000, Latency: 100})
		grants[i] = g
	}
	return grants
}

func reasonOf(t *testing.T, err error) dotterrequest.Reason {
	t.Helper()
	var refusal *dotterrequest.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, dotteroutcome.NotRun, refusal.Outcome)
	assert.Positive(t, refusal.RetryAfter)
	return refusal.Reason
}

func TestRequestThatCannotBeServedInTimeIsRefusedImmediately(t *testing.T) {
	tests := map[string]struct {
		settings Settings
		waiting  int
		deadline dotterclock.Millis // from now
		target   dotterclock.Millis
		want     dotterrequest.Reason
	}{
		"target before a slot is free":   {Settings{QueueItems: 100, QueueWaitMillis: 10_000}, 8, 60_000, 250, dotterrequest.ReasonWaitTooLong},
		"deadline before a slot is free": {Settings{QueueItems: 100, QueueWaitMillis: 10_000}, 0, 120, 0, dotterrequest.ReasonWaitTooLong},
		"queue longer than its wait":     {Settings{QueueItems: 100, QueueWaitMillis: 200}, 8, 60_000, 0, dotterrequest.ReasonWaitTooLong},
		"queue full":                     {Settings{QueueItems: 3, QueueWaitMillis: 10_000}, 3, 60_000, 0, dotterrequest.ReasonQueueFull},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _, _ := newTestService(1, 4, tc.settings)
			grants := acquireSlots(t, s, 4)
			var waiters sync.WaitGroup
			for range tc.waiting {
				waiters.Go(func() {
					g, err := s.Acquire(context.Background(), SlotRequest{Deadline: 100_000})
					if assert.NoError(t, err) {
						g.Release()
					}
				})
			}
			require.Eventually(t, func() bool { return s.Waiting() == tc.waiting }, waitTimeout, pollInterval)
			// The clock does not advance, so only an immediate refusal can return.
			_, err := s.Acquire(context.Background(), SlotRequest{Deadline: 1000 + tc.deadline, Target: tc.target})
			assert.Equal(t, tc.want, reasonOf(t, err))
			for _, g := range grants {
				g.Release()
			}
			waiters.Wait()
		})
	}
}

func TestQueueIsOrderedByRankThenDeadline(t *testing.T) {
	s, _, _ := newTestService(1, 1, Settings{QueueItems: 10, QueueWaitMillis: 10_000})
	grants := acquireSlots(t, s, 1)
	order := make(chan string, 4)
	var waiters sync.WaitGroup
	enqueue := func(name string, ticket SlotRequest, waiting int) {
		waiters.Go(func() {
			g, err := s.Acquire(context.Background(), ticket)
			if assert.NoError(t, err) {
				order <- name
				g.Release()
			}
		})
		require.Eventually(t, func() bool { return s.Waiting() == waiting }, waitTimeout, pollInterval)
	}
	enqueue("late", SlotRequest{Rank: 5, Deadline: 90_000}, 1)
	enqueue("early", SlotRequest{Rank: 5, Deadline: 80_000}, 2)
	enqueue("first", SlotRequest{Rank: 1, Deadline: 95_000}, 3)
	grants[0].Release()
	waiters.Wait()
	assert.Equal(t, []string{"first", "early", "late"}, []string{<-order, <-order, <-order})
}

func TestLowerRankDisplacesTheLastInAFullQueue(t *testing.T) {
	tests := map[string]struct{ queued []int }{ // ranks
		"the only one":           {queued: []int{5}},
		"behind one that stays":  {queued: []int{0, 5}},
		"behind several of them": {queued: []int{0, 1, 5}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _, _ := newTestService(1, 1, Settings{QueueItems: len(tc.queued), QueueWaitMillis: 10_000})
			grants := acquireSlots(t, s, 1)
			displaced := make(chan error, 1)
			for i, rank := range tc.queued {
				go func() {
					g, err := s.Acquire(context.Background(), SlotRequest{Rank: rank, Deadline: 90_000})
					if rank == 5 {
						displaced <- err
					}
					if err == nil {
						g.Release()
					}
				}()
				require.Eventually(t, func() bool { return s.Waiting() == i+1 }, waitTimeout, pollInterval)
			}
			done := make(chan error, 1)
			go func() {
				g, err := s.Acquire(context.Background(), SlotRequest{Rank: 1, Deadline: 90_000})
				if err == nil {
					g.Release()
				}
				done <- err
			}()
			assert.Equal(t, dotterrequest.ReasonDisplaced, reasonOf(t, <-displaced))
			grants[0].Release()
			require.NoError(t, <-done)
		})
	}
}

func TestWaitersAreRefusedOnTimeoutAndCancellation(t *testing.T) {
	s, _, clock := newTestService(1, 1, Settings{QueueItems: 10, QueueWaitMillis: 300})
	grants := acquireSlots(t, s, 1)
	refused := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), SlotRequest{Deadline: 90_000})
		refused <- err
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 1 }, waitTimeout, pollInterval)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := s.Acquire(ctx, SlotRequest{Deadline: 90_000})
		gone <- err
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 2 }, waitTimeout, pollInterval)
	cancel()
	assert.Equal(t, dotterrequest.ReasonCallerGone, reasonOf(t, <-gone))
	require.Eventually(t, func() bool {
		clock.Advance(300)
		return s.Waiting() == 0
	}, waitTimeout, pollInterval)
	assert.Equal(t, dotterrequest.ReasonWaitTooLong, reasonOf(t, <-refused))
	grants[0].Release()
}

// TestNoSlotIsIdleUnderOverload runs three times as many callers as there are slots
// and queue places. A slot must never be free while a request waits or be granted
// twice, and the queue must stay within its limit. The test checks counts rather
// than times.
func TestNoSlotIsIdleUnderOverload(t *testing.T) {
	const servers, slots, queueItems = 3, 4, 12
	s, permits, _ := newTestService(servers, slots, Settings{QueueItems: queueItems, QueueWaitMillis: 10_000})
	var inFlight, maxInFlight, granted, refused, idle atomic.Int64
	var callers sync.WaitGroup
	for range 3 * (servers*slots + queueItems) {
		callers.Go(func() {
			for range 200 {
				g, err := s.Acquire(context.Background(), SlotRequest{Deadline: 100_000})
				if err != nil {
					refused.Add(1)
					continue
				}
				granted.Add(1)
				now := inFlight.Add(1)
				for seen := maxInFlight.Load(); now > seen && !maxInFlight.CompareAndSwap(seen, now); seen = maxInFlight.Load() {
				}
				if idleSlotOrLongQueue(s, permits) {
					idle.Add(1)
				}
				inFlight.Add(-1)
				g.Release()
			}
		})
	}
	callers.Wait()
	assert.Zero(t, idle.Load())
	assert.LessOrEqual(t, maxInFlight.Load(), int64(servers*slots))
	assert.Positive(t, refused.Load())
	assert.Zero(t, s.Waiting())
	assert.Equal(t, servers*slots, s.FreeSlots())
}

// idleSlotOrLongQueue reports whether a slot is free while a request waits, or the
// queue exceeds its limit.
func idleSlotOrLongQueue(s *Service, permits *dotterfake.Permits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, v := range s.servers {
		_, n := permits.Slots(v.host.Name)
		free += min(n, v.usable-v.inFlight)
	}
	return s.queue.Len() > s.settings.QueueItems || s.queue.Len() > 0 && free > 0
}

func TestShareChangeGrantsSlotsToWaiters(t *testing.T) {
	s, permits, _ := newTestService(2, 1, Settings{QueueItems: 10, QueueWaitMillis: 10_000})
	grants := acquireSlots(t, s, 2)
	done := make(chan *Grant, 1)
	go func() {
		g, err := s.Acquire(context.Background(), SlotRequest{Deadline: 100_000})
		assert.NoError(t, err)
		done <- g
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 1 }, waitTimeout, pollInterval)
	permits.SetSlots(2)
	s.Update(hosts(2), 0, false)
	g := <-done
	for _, held := range append(grants, g) {
		held.Release()
	}
	permits.SetSlots(0)
	_, ok := s.TryAcquire(SlotRequest{})
	assert.False(t, ok, "a slot that Permits refuses is not granted")
	permits.SetSlots(2)
	s.Recheck()
	assert.Equal(t, 4, s.FreeSlots(), "Recheck restores the count of a refused slot")
}

func TestIneligibleServersGetNoNewRequests(t *testing.T) {
	tests := map[string]struct {
		update func(s *Service)
		free   int
		reason dotterrequest.Reason
	}{
		"gone from the list": {func(s *Service) { s.Update(hosts(1), 0, false) }, 8, ""},
		"none left":          {func(s *Service) { s.Update(nil, 0, false) }, 0, dotterrequest.ReasonNoServer},
		"domain out":         {func(s *Service) { s.Update(nil, 0, true) }, 0, dotterrequest.ReasonDomainOut},
		"half of the slots":  {func(s *Service) { s.Update(hosts(2), 50, false) }, 8, ""},
		"announced that it leaves": {func(s *Service) {
			g, _ := s.TryAcquire(SlotRequest{})
			g.MarkLeaving()
			g.Release()
			s.Update(hosts(2), 0, false)
		}, 8, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _, _ := newTestService(2, 8, Settings{QueueItems: 1, QueueWaitMillis: 1})
			require.Equal(t, 16, s.FreeSlots())
			tc.update(s)
			assert.Equal(t, tc.free, s.FreeSlots())
			if tc.reason != "" {
				_, err := s.Acquire(context.Background(), SlotRequest{Deadline: 100_000})
				assert.Equal(t, tc.reason, reasonOf(t, err))
			}
		})
	}
}
