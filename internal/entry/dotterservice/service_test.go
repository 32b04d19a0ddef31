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
	patience = 30 * time.Second
	tick     = 2 * time.Millisecond
)

func hosts(count int) []dotterhost.Host {
	list := make([]dotterhost.Host, count)
	for i := range list {
		list[i] = dotterhost.Host{Name: fmt.Sprintf("b%d", i), Incarnation: 1}
	}
	return list
}

// service returns a service of servers with slots each, on a clock that stands still.
func service(servers, slots int, settings Settings) (*Service, *dotterfake.Permits, *dotterclock.Manual) {
	clock := dotterclock.NewManual(1000)
	permits := dotterfake.NewPermits(slots, 64)
	s := New(clock, permits, dotterrouter.NewPowerOfTwo(1), settings)
	s.Update(hosts(servers), 0, false)
	return s, permits, clock
}

// take takes every free slot.
func take(t *testing.T, s *Service, count int) []*Grant {
	t.Helper()
	grants := make([]*Grant, count)
	for i := range grants {
		g, err := s.Acquire(context.Background(), Ticket{Deadline: 100_000})
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

func TestRequestThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
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
			s, _, _ := service(1, 4, tc.settings)
			grants := take(t, s, 4)
			var waiters sync.WaitGroup
			for range tc.waiting {
				waiters.Go(func() {
					g, err := s.Acquire(context.Background(), Ticket{Deadline: 100_000})
					if assert.NoError(t, err) {
						g.Release()
					}
				})
			}
			require.Eventually(t, func() bool { return s.Waiting() == tc.waiting }, patience, tick)
			// The clock stands still: only a refusal at once can return here.
			_, err := s.Acquire(context.Background(), Ticket{Deadline: 1000 + tc.deadline, Target: tc.target})
			assert.Equal(t, tc.want, reasonOf(t, err))
			for _, g := range grants {
				g.Release()
			}
			waiters.Wait()
		})
	}
}

func TestQueueGoesByRankThenDeadline(t *testing.T) {
	s, _, _ := service(1, 1, Settings{QueueItems: 10, QueueWaitMillis: 10_000})
	grants := take(t, s, 1)
	order := make(chan string, 4)
	var waiters sync.WaitGroup
	enqueue := func(name string, ticket Ticket, waiting int) {
		waiters.Go(func() {
			g, err := s.Acquire(context.Background(), ticket)
			if assert.NoError(t, err) {
				order <- name
				g.Release()
			}
		})
		require.Eventually(t, func() bool { return s.Waiting() == waiting }, patience, tick)
	}
	enqueue("late", Ticket{Rank: 5, Deadline: 90_000}, 1)
	enqueue("early", Ticket{Rank: 5, Deadline: 80_000}, 2)
	enqueue("first", Ticket{Rank: 1, Deadline: 95_000}, 3)
	grants[0].Release()
	waiters.Wait()
	assert.Equal(t, []string{"first", "early", "late"}, []string{<-order, <-order, <-order})
}

func TestLowerRankTakesThePlaceOfTheLast(t *testing.T) {
	s, _, _ := service(1, 1, Settings{QueueItems: 1, QueueWaitMillis: 10_000})
	grants := take(t, s, 1)
	displaced := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), Ticket{Rank: 5, Deadline: 90_000})
		displaced <- err
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 1 }, patience, tick)
	done := make(chan error, 1)
	go func() {
		g, err := s.Acquire(context.Background(), Ticket{Rank: 1, Deadline: 90_000})
		if err == nil {
			g.Release()
		}
		done <- err
	}()
	assert.Equal(t, dotterrequest.ReasonDisplaced, reasonOf(t, <-displaced))
	grants[0].Release()
	require.NoError(t, <-done)
}

func TestWaitersLeaveWhenTheirTimeIsUp(t *testing.T) {
	s, _, clock := service(1, 1, Settings{QueueItems: 10, QueueWaitMillis: 300})
	grants := take(t, s, 1)
	refused := make(chan error, 1)
	go func() {
		_, err := s.Acquire(context.Background(), Ticket{Deadline: 90_000})
		refused <- err
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 1 }, patience, tick)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := s.Acquire(ctx, Ticket{Deadline: 90_000})
		gone <- err
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 2 }, patience, tick)
	cancel()
	assert.Equal(t, dotterrequest.ReasonCallerGone, reasonOf(t, <-gone))
	require.Eventually(t, func() bool {
		clock.Advance(300)
		return s.Waiting() == 0
	}, patience, tick)
	assert.Equal(t, dotterrequest.ReasonWaitTooLong, reasonOf(t, <-refused))
	grants[0].Release()
}

// TestOverloadKeepsEverySlotBusy counts instead of timing: with three times as
// many callers as slots and queue places, no slot is ever free while a request
// waits, none is used twice, and the queue keeps its bound.
func TestOverloadKeepsEverySlotBusy(t *testing.T) {
	const servers, slots, bound = 3, 4, 12
	s, permits, _ := service(servers, slots, Settings{QueueItems: bound, QueueWaitMillis: 10_000})
	var inFlight, most, granted, refused, idle atomic.Int64
	var callers sync.WaitGroup
	for range 3 * (servers*slots + bound) {
		callers.Go(func() {
			for range 200 {
				g, err := s.Acquire(context.Background(), Ticket{Deadline: 100_000})
				if err != nil {
					refused.Add(1)
					continue
				}
				granted.Add(1)
				now := inFlight.Add(1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				if wasted(s, permits) {
					idle.Add(1)
				}
				inFlight.Add(-1)
				g.Release()
			}
		})
	}
	callers.Wait()
	assert.Zero(t, idle.Load())
	assert.LessOrEqual(t, most.Load(), int64(servers*slots))
	assert.Positive(t, refused.Load())
	assert.Zero(t, s.Waiting())
	assert.Equal(t, servers*slots, s.FreeSlots())
}

// wasted reports whether a slot is free while a request waits, or the queue is too long.
func wasted(s *Service, permits *dotterfake.Permits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, v := range s.servers {
		_, n := permits.Slots(v.host.Name)
		free += min(n, v.usable-v.inFlight)
	}
	return s.queue.Len() > s.settings.QueueItems || s.queue.Len() > 0 && free > 0
}

func TestChangesOfSharesServeThoseWhoWait(t *testing.T) {
	s, permits, _ := service(2, 1, Settings{QueueItems: 10, QueueWaitMillis: 10_000})
	grants := take(t, s, 2)
	done := make(chan *Grant, 1)
	go func() {
		g, err := s.Acquire(context.Background(), Ticket{Deadline: 100_000})
		assert.NoError(t, err)
		done <- g
	}()
	require.Eventually(t, func() bool { return s.Waiting() == 1 }, patience, tick)
	permits.SetSlots(2)
	s.Update(hosts(2), 0, false)
	g := <-done
	for _, held := range append(grants, g) {
		held.Release()
	}
	permits.SetSlots(0)
	_, ok := s.TryAcquire(Ticket{})
	assert.False(t, ok, "Permits has the last word")
	permits.SetSlots(2)
	s.Nudge()
	assert.Equal(t, 4, s.FreeSlots(), "a refused slot is counted again")
}

func TestServersThatGetNothingNew(t *testing.T) {
	tests := map[string]struct {
		update func(s *Service)
		free   int
		reason dotterrequest.Reason
	}{
		"gone from the list": {func(s *Service) { s.Update(hosts(1), 0, false) }, 8, ""},
		"none left":          {func(s *Service) { s.Update(nil, 0, false) }, 0, dotterrequest.ReasonNoServer},
		"domain out":         {func(s *Service) { s.Update(nil, 0, true) }, 0, dotterrequest.ReasonDomainOut},
		"half of the slots":  {func(s *Service) { s.Update(hosts(2), 50, false) }, 8, ""},
		"leaving by its own word": {func(s *Service) {
			g, _ := s.TryAcquire(Ticket{})
			g.MarkLeaving()
			g.Release()
			s.Update(hosts(2), 0, false)
		}, 8, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _, _ := service(2, 8, Settings{QueueItems: 1, QueueWaitMillis: 1})
			require.Equal(t, 16, s.FreeSlots())
			tc.update(s)
			assert.Equal(t, tc.free, s.FreeSlots())
			if tc.reason != "" {
				_, err := s.Acquire(context.Background(), Ticket{Deadline: 100_000})
				assert.Equal(t, tc.reason, reasonOf(t, err))
			}
		})
	}
}
