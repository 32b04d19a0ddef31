package dotterdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandpool"
)

// TestReturningWorkerIsRenewed guards against a session that stops renewing when its
// worker leaves the directory idle and returns before the next Sync, as after a network
// partition. Runs started there afterwards would lose their lease.
func TestReturningWorkerIsRenewed(t *testing.T) {
	clock := dotterclock.NewSystem()
	pool := dotterstandpool.New(clock, 6000)
	w := dotterworker.Worker{ID: "w0", Address: "10.0.0.1:1", Service: "pool", Capacity: dotterroom.Room{MilliCores: 64_000, MemoryMB: 64_000}}
	pool.Add(w)
	b := dotterboard.New(dotterboard.Settings{LeaseDuration: 6000, RetentionDuration: 60_000, DirectoryGrace: 2500}, 1, clock.Now(), clock.Now(), zap.NewNop())
	b.Configure(dotterqueues.NewDocument(1, []dotterqueues.Queue{{Host: "h", Prefix: "/p/", Service: "pool"}}, nil, dotterqueues.Limits{}), nil)
	d := New(b, pool, clock, zap.NewNop(), func() bool { return true })
	listed := map[string]dotterworker.Worker{"w0": w}

	b.UpdateDirectory(clock.Now(), listed)
	d.Sync(t.Context())
	heard := func() bool { return b.Summary(clock.Now()).Unresponsive == 0 }
	require.Eventually(t, heard, 5*time.Second, time.Millisecond)
	b.UpdateDirectory(clock.Now(), map[string]dotterworker.Worker{})
	time.Sleep(2 * time.Second) // longer than a waiting renewal takes
	b.UpdateDirectory(clock.Now(), listed)
	d.Sync(t.Context())

	j := dotterjob.Job{ID: "0123456789abcdef", Queue: "h/p/", Spec: "s", Steps: []dotterjob.Step{{Count: 1, Estimate: 2500, Size: dotterroom.Room{MilliCores: 1000}}}}
	pool.AddJob(j)
	b.Accept(clock.Now(), 0, j)
	require.Eventually(t, func() bool {
		b.Plan(clock.Now(), clock.Now())
		batch, err := b.Batch(30)
		require.NoError(t, err)
		b.HandleCommitted(batch)
		state, _ := b.State(j.ID)
		return state == dotterjob.Completed
	}, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, 1, pool.Starts(j.ID))
	require.Empty(t, pool.Violations())
}
