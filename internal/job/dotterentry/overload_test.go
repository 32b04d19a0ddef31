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
