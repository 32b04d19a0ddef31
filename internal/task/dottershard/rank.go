package dottershard

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RankHosts returns hosts in the order in which they should own the shard, by
// rendezvous hashing.
func RankHosts(shard Name, hosts []string) []string {
	ranked := append([]string(nil), hosts...)
	name := shard.String()
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weigh(name, ranked[i]), weigh(name, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// ForKey returns the shard that keeps the team's idempotency key. It depends on
// nothing but the shards there are, so that every entry host names the same one.
func ForKey(shards []Name, team, key string) (Name, bool) {
	if len(shards) == 0 {
		return Name{}, false
	}
	best := shards[0]
	for _, s := range shards[1:] {
		if weigh(s.String(), team+"\x00"+key) > weigh(best.String(), team+"\x00"+key) {
			best = s
		}
	}
	return best, true
}

func weigh(a, b string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}
