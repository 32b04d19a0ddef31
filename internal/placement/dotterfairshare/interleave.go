package dotterfairshare

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Demand is the room that waits for a team.
type Demand struct {
	Team string
	Room dotterroom.Room
}

// Interleave returns the indexes of the demands in the order in which they get room: repeatedly
// the first one of the team that goes first, whose room then counts as held by the team. After
// most demands the rest keep their order, which bounds the cost for long queues.
func (s *Shares) Interleave(demands []Demand, most int) []int {
	queues := map[string][]int{}
	var names []string
	for i, d := range demands {
		if len(queues[d.Team]) == 0 {
			names = append(names, d.Team)
		}
		queues[d.Team] = append(queues[d.Team], i)
	}
	order := make([]int, 0, len(demands))
	taken := make([]bool, len(demands))
	for len(names) > 1 && len(order) < most {
		first := s.First(names)
		name := names[first]
		i := queues[name][0]
		queues[name] = queues[name][1:]
		if len(queues[name]) == 0 {
			names = append(names[:first], names[first+1:]...)
		}
		s.Add(name, demands[i].Room)
		order, taken[i] = append(order, i), true
	}
	for i := range demands {
		if !taken[i] {
			order = append(order, i)
		}
	}
	return order
}
