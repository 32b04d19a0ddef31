package dotterowner

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// PoolUse is the usage of one or more shards of the pool, as last reported.
type PoolUse struct {
	Teams  map[string]dotterroom.Room // capacity held by each team
	Pool   dotterroom.Room            // capacity of all workers
	Shards map[string]ShardLoad       // load by shard name
}

// ShardLoad is a shard's queue length and free capacity.
type ShardLoad struct {
	Queued int             // queued tasks, preassigned and uncommitted ones included
	Free   dotterroom.Room // free capacity of the usable workers
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
