package dotterscheduler

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterlog"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterexplain"
)

// boardGauge returns the value of a kind of dotterelusher_board for the shard "all".
func boardGauge(t *testing.T, registry prometheus.Gatherer, kind string) float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() != "dotterelusher_board" {
			continue
		}
		for _, m := range family.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == kind {
					return m.GetGauge().GetValue()
				}
			}
		}
	}
	require.Fail(t, "no such kind", kind)
	return 0
}

// TestLostTaskLeadsToCause loses the worker of a long-running task on a full pool, and requires that the metrics count
// the task, that the log has a line on it, and that `dotterelusher explain` tells why it waits.
func TestLostTaskLeadsToCause(t *testing.T) {
	log := &logBuffer{}
	logger, flush := dotterlog.NewBounded("info", "a1", log)
	c := &cluster{logger: logger, t: t, domains: []string{"a"}}
	c.startAll(2, "a1")
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewCollector(c.hosts["a1"], c.clock))
	c.await("an owner", func() bool { return c.owner() != "" })
	c.await("the workers", func() bool { s := c.hosts["a1"].Summaries()["all"]; return s.Workers == 2 && s.Unresponsive == 0 })
	size := func(cores int64) dotterroom.Room {
		return dotterroom.Room{MilliCores: cores * 1000, MemoryMB: cores * 2000}
	}
	id := c.submit("a1", 0xf8, dotterjob.Step{Count: 1, LongRunning: true, Estimate: 50, Size: size(40)})
	c.await("it runs", func() bool { return len(c.pool.Running()) == 1 })
	lost := ""
	for lost = range c.pool.Running() {
	}
	c.submit("a1", 0xf9, dotterjob.Step{Count: 1, Estimate: 60_000, Size: size(34)})
	c.await("the other runs", func() bool { return len(c.pool.Running()) == 2 })
	c.pool.Crash(lost)
	c.await("it is counted", func() bool { return boardGauge(t, registry, "LostWaiting") == 1 })
	c.await("it has waited for long", func() bool { return boardGauge(t, registry, "LongestLostMs") > 3300 })
	w := dotterworker.Worker{ID: "w8", Address: "10.0.0.9:1", Service: "pool", FailureDomain: "a", Capacity: size(64)}
	c.pool.Add(w)
	encoded, err := json.Marshal(w)
	require.NoError(t, err)
	_, err = c.store.Put(t.Context(), "Workers/"+w.ID, encoded, 0, "")
	require.NoError(t, err)
	c.await("it runs again", func() bool { return boardGauge(t, registry, "LostWaiting") == 0 && len(c.pool.Running()["w8"]) == 1 })
	c.await("its run is listed", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return strings.Contains(log.String(), "lost long-running task restarts")
	})
	flush()
	lines, err := dotterexplain.Job(string(id), strings.NewReader(log.String()))
	require.NoError(t, err)
	var messages []string
	for _, l := range lines {
		messages = append(messages, l.Message)
	}
	for _, message := range []string{"run lost", "room while long-running tasks wait", "lost long-running task still waits", "lost long-running task restarts"} {
		assert.Contains(t, messages, message)
	}
	waits := dotterexplain.LostTasks(lines)
	require.Len(t, waits, 1)
	assert.Contains(t, waits[0], "in shard all: too little is free (30 cores free on 1 open workers, at most 30 on one). No other shard has workers for it. It runs again on w8")
	assert.Zero(t, boardGauge(t, registry, "LongestLostMs"))
}
