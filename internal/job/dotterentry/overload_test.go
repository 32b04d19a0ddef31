package dotterentry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

// overloaded is a host that knows one shard, which is overloaded.
type overloaded struct{ oneShard }

func (overloaded) Admission(dotterjob.Job) dotteradmission.Decision {
	return dotteradmission.Decision{Refused: true, Reason: dotteradmission.Backlog, Shard: "all", Age: 400, Wait: 22_000, Limit: 12_000, Objective: 5000}
}

// TestSubmissionsUnderOverload guards against the refusal of a job that was accepted before, of
// which the caller would believe that it never runs, and against a refusal after which the job
// runs nevertheless.
func TestSubmissionsUnderOverload(t *testing.T) {
	tests := map[string]struct {
		store    *resettingStore
		health   fixedHealth
		before   bool // the job was accepted before
		calm     bool
		want     error
		overload bool
		commits  int64
	}{
		"a new job":                            {store: &resettingStore{}, want: ErrRefused, overload: true},
		"accepted before":                      {store: &resettingStore{}, before: true, commits: 1}, // which finds it and writes nothing
		"no overload":                          {store: &resettingStore{}, calm: true, commits: 1},
		"the home cannot be read, writes work": {store: &resettingStore{readsFail: true}, commits: 1},
		"the store is known to fail":           {store: &resettingStore{readsFail: true}, health: fixedHealth{failing: true}, want: ErrRefused},
		"the store is away for long, no owner": {store: &resettingStore{}, health: fixedHealth{away: true}, want: ErrRefused},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.store.Store = dottermemory.New(dotterclock.NewSystem())
			s := newTestService(t, tc.store, tc.health, "127.0.0.1:1")
			if !tc.calm {
				s.boards = overloaded{}
			}
			core, lines := observer.New(zap.InfoLevel)
			s.logger = zap.New(core)
			j := testJob()
			j.Tenant = "north"
			if tc.before {
				_, err := tc.store.Store.Put(t.Context(), HomeKey(j.ID), []byte("all"), 0, "")
				require.NoError(t, err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			err := s.Submit(ctx, dotterjob.Caller{}, j)
			assert.ErrorIs(t, err, tc.want)
			var overload *OverloadError
			assert.Equal(t, tc.overload, errors.As(err, &overload))
			assert.Equal(t, tc.commits, tc.store.commits.Load())
			refusals := lines.FilterMessage("job refused under overload").All()
			if !tc.overload {
				assert.Empty(t, refusals)
				assert.Empty(t, s.Refusals())
				return
			}
			assert.Equal(t, 10*dotterclock.Second, overload.RetryAfter)
			assert.Equal(t, map[Refusal]int64{{Queue: j.Queue, Reason: dotteradmission.Backlog}: 1}, s.Refusals())
			require.Len(t, refusals, 1)
			fields := refusals[0].ContextMap()
			assert.Equal(t, string(j.ID), fields["Job"])
			assert.Equal(t, "north", fields["Tenant"])
			assert.EqualValues(t, 400, fields["OutlookAgeMs"])
			assert.EqualValues(t, 22_000, fields["ExpectedWaitMs"])
			assert.EqualValues(t, 10_000, fields["RetryAfterMs"])
		})
	}
}

// capped is a host whose configuration has a cap of 10 cores for the tenant north.
type capped struct{ oneShard }

func (capped) TenantCap(tenant string) (dotterroom.Room, int64) {
	if tenant != "north" {
		return dotterroom.Room{}, 7
	}
	return dotterroom.Room{MilliCores: 10_000}, 7
}

// TestGangLargerThanCapIsRefused guards against accepting a gang that can never start, whose
// caller would learn of it only when the job has failed, and against the refusal of a job that
// can start or that was accepted before the cap was lowered.
func TestGangLargerThanCapIsRefused(t *testing.T) {
	gang := func(count int) []dotterjob.Step {
		return []dotterjob.Step{{Count: 1, Estimate: 100}, {Count: count, Gang: true, Estimate: 100, Size: dotterroom.Room{MilliCores: 4000}}}
	}
	lasting := gang(3)
	lasting[1].LongRunning = true
	tests := map[string]struct {
		steps   []dotterjob.Step
		tenant  string // empty: none
		blind   bool   // the store does not answer reads
		before  bool   // the job was accepted before
		refused bool
		commits int64
	}{
		"a gang within the cap":           {steps: gang(2), tenant: "north", commits: 1},
		"a larger gang":                   {steps: gang(3), tenant: "north", refused: true},
		"a larger long-running gang":      {steps: lasting, tenant: "north", refused: true},
		"accepted before":                 {steps: gang(3), tenant: "north", before: true, commits: 1}, // which finds it and writes nothing
		"the home cannot be read":         {steps: gang(3), tenant: "north", blind: true, commits: 1},
		"of a tenant without a cap":       {steps: gang(3), tenant: "south", commits: 1},
		"of no tenant":                    {steps: gang(3), commits: 1},
		"a task larger than the cap":      {steps: []dotterjob.Step{{Count: 1, Estimate: 100, Size: dotterroom.Room{MilliCores: 40_000}}}, tenant: "north", commits: 1},
		"a wide step larger than the cap": {steps: []dotterjob.Step{{Count: 9, Estimate: 100, Size: dotterroom.Room{MilliCores: 4000}}}, tenant: "north", commits: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store := &resettingStore{Store: dottermemory.New(dotterclock.NewSystem()), readsFail: tc.blind}
			s := newTestService(t, store, fixedHealth{}, "127.0.0.1:1")
			s.boards = capped{}
			core, lines := observer.New(zap.InfoLevel)
			s.logger = zap.New(core)
			j := testJob()
			j.Tenant, j.Steps = tc.tenant, tc.steps
			if tc.before {
				_, err := store.Store.Put(t.Context(), HomeKey(j.ID), []byte("all"), 0, "")
				require.NoError(t, err)
			}
			err := s.Submit(t.Context(), dotterjob.Caller{}, j)
			assert.Equal(t, tc.commits, store.commits.Load())
			refusals := lines.FilterMessage("job refused, larger than cap").All()
			if !tc.refused {
				assert.NoError(t, err)
				assert.Empty(t, refusals)
				assert.Empty(t, s.Refusals())
				return
			}
			var overload *OverloadError
			require.ErrorAs(t, err, &overload)
			assert.ErrorIs(t, err, ErrRefused)
			assert.Equal(t, dotteradmission.LargerThanCap, overload.Reason)
			assert.Equal(t, 60*dotterclock.Second, overload.RetryAfter)
			assert.Equal(t, map[Refusal]int64{{Queue: j.Queue, Reason: dotteradmission.LargerThanCap}: 1}, s.Refusals())
			require.Len(t, refusals, 1)
			fields := refusals[0].ContextMap()
			assert.Equal(t, string(j.ID), fields["Job"])
			assert.Equal(t, "north", fields["Tenant"])
			assert.Equal(t, "LargerThanCap", fields["Reason"])
			assert.Equal(t, dotterroom.Room{MilliCores: 12_000}.String(), fields["LargestGang"])
			assert.Equal(t, dotterroom.Room{MilliCores: 10_000}.String(), fields["Cap"])
			assert.EqualValues(t, 7, fields["Version"])
		})
	}
}
