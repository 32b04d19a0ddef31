package dotterowner

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// PoolUse is what the pool's shards hold together, as last reported.
type PoolUse struct {
	Teams map[string]dotterroom.Room // room that each team holds
	Pool  dotterroom.Room            // capacity of all workers
}

// With returns the sum of u and o.
func (u PoolUse) With(o PoolUse) PoolUse {
	sum := PoolUse{Teams: make(map[string]dotterroom.Room, len(u.Teams)), Pool: u.Pool.Add(o.Pool)}
	for team, room := range u.Teams {
		sum.Teams[team] = room
	}
	for team, room := range o.Teams {
		sum.Teams[team] = sum.Teams[team].Add(room)
	}
	return sum
}
