package dotterowner

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// PoolUse is what the pool's shards hold together, as last reported.
type PoolUse struct {
	Teams  map[string]dotterroom.Room // room that each team holds
	Pool   dotterroom.Room            // capacity of all workers
	Shards map[string]ShardLoad       // each shard's load by name
}

// ShardLoad is what a shard could take on.
type ShardLoad struct {
	Queued int             // tasks that wait
	Free   dotterroom.Room // room on workers that may be used
}

// Add returns the sum of u and o.
func (u PoolUse) Add(o PoolUse) PoolUse {
	sum := PoolUse{
		Teams:  make(map[string]dotterroom.Room, len(u.Teams)),
		Pool:   u.Pool.Add(o.Pool),
		Shards: make(map[string]ShardLoad, len(u.Shards)),
	}
	for _, use := range []PoolUse{u, o} {
		for team, room := range use.Teams {
			sum.Teams[team] = sum.Teams[team].Add(room)
		}
		for shard, load := range use.Shards {
			sum.Shards[shard] = load
		}
	}
	return sum
}
