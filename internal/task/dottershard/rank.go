package dottershard

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RankHosts returns hosts in order of preference for owning the shard, by
// rendezvous hashing.
func RankHosts(shard Name, hosts []string) []string {
	ranked := append([]string(nil), hosts...)
	name := shard.String()
	sort.Slice(ranked, func(i, j int) bool {
		a, b := rendezvousScore(name, ranked[i]), rendezvousScore(name, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// ForKey returns the shard that the team's idempotency key belongs to, by
// rendezvous hashing. The result depends only on the set of shards, so every
// entry host computes the same one.
func ForKey(shards []Name, team, key string) (Name, bool) {
	if len(shards) == 0 {
		return Name{}, false
	}
	best := shards[0]
	for _, s := range shards[1:] {
		if rendezvousScore(s.String(), team+"\x00"+key) > rendezvousScore(best.String(), team+"\x00"+key) {
			best = s
		}
	}
	return best, true
}

// rendezvousScore returns the hash of a and b by which candidates are compared.
func rendezvousScore(a, b string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return d.Sum64()
}
