package dotterpartition

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// workersIn returns count workers in each failure domain, ten to a rack.
func workersIn(counts map[string]int) map[string]dotterworker.Worker {
	workers := map[string]dotterworker.Worker{}
	for domain, count := range counts {
		for i := range count {
			id := fmt.Sprintf("%s-%d", domain, i)
			workers[id] = dotterworker.Worker{ID: id, FailureDomain: domain, Rack: fmt.Sprintf("%s-r%d", domain, i/10)}
		}
	}
	return workers
}

func TestNew(t *testing.T) {
	tests := map[string]struct {
		counts   map[string]int
		shards   map[string][]string // domains by shard
		maxCount int                 // workers of the largest shard
	}{
		"few workers in three domains": {
			counts: map[string]int{"a": 20, "b": 30, "c": 40}, shards: map[string][]string{"all": {"a", "b", "c"}}, maxCount: 90,
		},
		"many workers in three domains": {
			counts: map[string]int{"a": 80, "b": 90, "c": 100}, shards: map[string][]string{"a": {"a"}, "b": {"b"}, "c": {"c"}}, maxCount: 100,
		},
		"a domain above the maximum": {
			counts: map[string]int{"a": 250, "b": 90},
			shards: map[string][]string{"a-0": {"a"}, "a-1": {"a"}, "a-2": {"a"}, "b": {"b"}}, maxCount: 130,
		},
		"a domain with few workers": {
			counts: map[string]int{"a": 80, "b": 90, "c": 3}, shards: map[string][]string{"shard0": {"a", "c"}, "b": {"b"}}, maxCount: 90,
		},
		"a name that is no key": {
			counts: map[string]int{"a/b": 80, "c": 90}, shards: map[string][]string{"shard0": {"a/b"}, "c": {"c"}}, maxCount: 90,
		},
		"no worker": {shards: map[string][]string{"all": nil}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			workers := workersIn(tc.counts)
			p := New(workers, 100)
			require.NoError(t, p.Check())
			domains := map[string][]string{}
			for _, s := range p.Shards {
				domains[s.Name] = s.Domains
			}
			assert.Equal(t, tc.shards, domains)
			counts := map[string]int{}
			for _, w := range workers {
				shard := p.ShardOf(w)
				require.Contains(t, domains, shard)
				require.Contains(t, domains[shard], w.FailureDomain)
				counts[shard]++
			}
			for shard, count := range counts {
				assert.LessOrEqual(t, count, tc.maxCount, shard)
			}
		})
	}
}

func TestWorkerOfUnknownDomainHasShard(t *testing.T) {
	p := New(workersIn(map[string]int{"a": 80, "b": 90}), 100)
	shard := p.ShardOf(dotterworker.Worker{ID: "w", FailureDomain: "new"})
	assert.Contains(t, []string{"a", "b"}, shard)
}

func TestCheckRejectsInvalidPartition(t *testing.T) {
	tests := map[string]Partition{
		"no shards":            {},
		"shard named twice":    {Shards: []Shard{{Name: "a"}, {Name: "a"}}},
		"name with a slash":    {Shards: []Shard{{Name: "a/b"}}},
		"slice out of range":   {Shards: []Shard{{Name: "a", Slice: 2, Slices: 2}}},
		"slice below 0":        {Shards: []Shard{{Name: "a", Slice: -1}}},
		"shard without a name": {Shards: []Shard{{}}},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, p.Check(), ErrInvalid)
		})
	}
}
