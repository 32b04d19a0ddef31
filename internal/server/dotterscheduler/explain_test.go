package dotterscheduler

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterlog"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterexplain"
)

// logBuffer collects a host's log.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(line)
}

// listReturned lists the workers that have returned after a crash in the directory.
func (c *cluster) listReturned() {
	for id, w := range c.pool.Listed() {
		if _, err := c.store.Get(c.t.Context(), "Workers/"+id); err == nil {
			continue
		}
		encoded, err := json.Marshal(w)
		require.NoError(c.t, err)
		_, err = c.store.Put(c.t.Context(), "Workers/"+id, encoded, 0, "")
		require.NoError(c.t, err)
	}
}

// TestExplainShowsCause covers the examples of docs/OPERATIONS.md: for each failed or
// delayed job, the lines that `dotterelusher explain` shows lead to the cause.
func TestExplainShowsCause(t *testing.T) {
	tests := map[string]struct {
		fail func(t *testing.T, c *cluster) dotterjob.ID
		want []string // parts of the output, in this order
	}{
		"refused while the store is unavailable": {
			fail: func(t *testing.T, c *cluster) dotterjob.ID {
				c.store.SetWritesDown(true)
				j := dotterjob.Job{ID: "00000000000000f1", Queue: testQueue, Steps: []dotterjob.Step{step(1, 10)}}
				require.Error(t, c.hosts["a1"].Jobs().Submit(t.Context(), dotterjob.Caller{}, j))
				c.store.SetWritesDown(false)
				return j.ID
			},
			want: []string{"write not confirmed", "MayHaveTakenEffect=false"},
		},
		"refused while the store is known to fail": {
			fail: func(t *testing.T, c *cluster) dotterjob.ID {
				c.store.SetDown(true)
				c.await("the watch fails", func() bool { return c.hosts["a1"].operatorKeys.Failing() })
				j := dotterjob.Job{ID: "00000000000000f4", Queue: testQueue, Steps: []dotterjob.Step{step(1, 10)}}
				require.ErrorIs(t, c.hosts["a1"].Jobs().Submit(t.Context(), dotterjob.Caller{}, j), dotterentry.ErrRefused)
				c.store.SetDown(false)
				return j.ID
			},
			want: []string{"home of the job not read", "unavailable"},
		},
		"failed because its task fails on every worker": {
			fail: func(t *testing.T, c *cluster) dotterjob.ID {
				c.pool.FailAlways("00000000000000f2")
				id := c.submit("a1", 0xf2, step(1, 30))
				c.await("failed", func() bool { return c.stateAt("a1", id) == dotterjob.Failed })
				return id
			},
			want: []string{"run ended", "Ending=Failed", "run ended", "Ending=Failed", "job decided", "Outcome=Failed", "failed as often as its queue allows"},
		},
		"failed because its task crashes every worker": {
			fail: func(t *testing.T, c *cluster) dotterjob.ID {
				c.pool.ReturnAfter(100)
				c.pool.MakeDeadly(dotterjob.TaskID{Job: "00000000000000f5"})
				id := c.submit("a1", 0xf5, step(1, 30))
				c.await("failed", func() bool {
					c.listReturned()
					return c.stateAt("a1", id) == dotterjob.Failed
				})
				return id
			},
			want: []string{
				"worker crashed under a starting run", "SumOfWeights=5", "Worker=w", "run lost", "another incarnation answers at the worker's address",
				"worker crashed under a starting run", "SumOfWeights=10", "job decided", "Outcome=Failed", "crashed the workers w",
			},
		},
		"delayed by restarts of its workers": {
			fail: func(t *testing.T, c *cluster) dotterjob.ID {
				id := c.submit("a1", 0xf3, step(4, 800))
				c.await("it runs", func() bool { return c.pool.Starts(id) == 4 })
				for worker := range c.pool.Running() {
					c.pool.Restart(worker)
				}
				c.await("completed", func() bool { return c.stateAt("a1", id) == dotterjob.Completed })
				return id
			},
			want: []string{"worker restarted", "run lost", "job decided", "Outcome=Completed"},
		},
		"held by the cap of its tenant": {
			fail: func(t *testing.T, c *cluster) dotterjob.ID {
				first := c.submitAs("north", "a1", 0xf6, step(2, 500))
				c.await("it runs", func() bool { return c.pool.Starts(first) == 2 })
				id := c.submitAs("north", "a1", 0xf7, step(2, 30))
				c.await("completed", func() bool { return c.stateAt("a1", id) == dotterjob.Completed })
				return id
			},
			want: []string{"step held by the cap of its tenant", "Verdict=Held", "job decided", "HeldMs=", "Outcome=Completed"},
		},
	}
	tenants := []dotterqueues.Tenant{{Name: "north", Weight: 10, Cap: dotterroom.Room{MilliCores: 4000}}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			log := &logBuffer{}
			logger, flush := dotterlog.NewBounded("info", "a1", log)
			c := &cluster{logger: logger, t: t, domains: []string{"a"}, tenants: tenants}
			c.startAll(2, "a1")
			c.await("an owner", func() bool { return c.owner() != "" })
			c.await("the workers", func() bool { s := c.hosts["a1"].Summaries()["all"]; return s.Workers == 2 && s.Unresponsive == 0 })
			id := tc.fail(t, c)
			flush()
			lines, err := dotterexplain.Job(string(id), strings.NewReader(log.String()))
			require.NoError(t, err)
			var text strings.Builder
			for _, l := range lines {
				text.WriteString(l.String() + "\n")
			}
			rest := text.String()
			for _, part := range tc.want {
				i := strings.Index(rest, part)
				require.GreaterOrEqual(t, i, 0, "%q is missing or out of order in\n%s", part, text.String())
				rest = rest[i+len(part):]
			}
			assert.NotContains(t, text.String(), "errorVerbose")
		})
	}
}
