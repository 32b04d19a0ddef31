package dottertasks

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

func sortNames(names []dottershard.Name) {
	sort.Slice(names, func(i, j int) bool {
		if names[i].FailureDomain != names[j].FailureDomain {
			return names[i].FailureDomain < names[j].FailureDomain
		}
		return names[i].Number < names[j].Number
	})
}

// allShards returns every shard of the pool, sorted.
func (s *Service) allShards() []dottershard.Name {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var names []dottershard.Name
	for _, l := range s.layouts {
		names = append(names, l.Names()...)
	}
	sortNames(names)
	return names
}

func (s *Service) layout(failureDomain string) (dottershard.Layout, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.layouts[failureDomain]
	return l, ok
}
