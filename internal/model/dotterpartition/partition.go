package dotterpartition

import (
	"cmp"
	"hash/fnv"
	"maps"
	"regexp"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// DefaultMaxWorkers is the number of workers up to which one owner serves them all.
	// docs/CAPACITY.md says what an owner spends for each.
	DefaultMaxWorkers = 600
	// minFraction is the fraction of the maximum below which the workers of a failure domain
	// share a shard with those of another.
	minFraction = 0.1
)

// ErrInvalid means that a stored partition names no shards or one shard twice.
var ErrInvalid = eris.New("partition: invalid")

// namePattern matches the failure domains whose names can be used in the store's keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$`)

// Partition divides workers into shards.
type Partition struct {
	Shards []Shard
}

// Shard is a set of workers with one owner.
type Shard struct {
	Name    string
	Domains []string // failure domains of its workers
	Slice   int      `json:",omitempty"` // number of its slice of their racks, from 0
	Slices  int      `json:",omitempty"` // number of slices of their racks; 0: one
}

// Includes reports whether the shard has workers in the failure domain.
func (s Shard) Includes(domain string) bool {
	return slices.Contains(s.Domains, domain)
}

// group is a set of failure domains during the construction of a partition.
type group struct {
	domains []string
	workers int
}

// New returns a partition of the workers into shards of at most maxWorkers, as far as
// racks allow.
func New(workers map[string]dotterworker.Worker, maxWorkers int) Partition {
	counts := map[string]int{}
	for _, w := range workers {
		counts[w.FailureDomain]++
	}
	if len(workers) <= maxWorkers {
		return Partition{Shards: []Shard{{Name: "all", Domains: slices.Sorted(maps.Keys(counts))}}}
	}
	var groups []group
	for _, domain := range slices.Sorted(maps.Keys(counts)) {
		groups = append(groups, group{domains: []string{domain}, workers: counts[domain]})
	}
	var p Partition
	for i, g := range mergeSmall(groups, int(minFraction*float64(maxWorkers))) {
		n := (g.workers + maxWorkers - 1) / maxWorkers
		for slice := range n {
			s := Shard{Name: g.name(i), Domains: g.domains}
			if n > 1 {
				s.Name, s.Slice, s.Slices = s.Name+"-"+strconv.Itoa(slice), slice, n
			}
			p.Shards = append(p.Shards, s)
		}
	}
	return p
}

// mergeSmall merges the smallest groups until each has at least minWorkers.
func mergeSmall(groups []group, minWorkers int) []group {
	for len(groups) > 1 {
		slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.workers, b.workers) })
		if groups[0].workers >= minWorkers {
			break
		}
		groups[1].domains = append(groups[1].domains, groups[0].domains...)
		groups[1].workers += groups[0].workers
		groups = groups[1:]
	}
	slices.SortFunc(groups, func(a, b group) int { return slices.Compare(a.domains, b.domains) })
	return groups
}

// name returns the name of the group's shard.
func (g group) name(number int) string {
	if len(g.domains) == 1 && namePattern.MatchString(g.domains[0]) && g.domains[0] != "all" {
		return g.domains[0]
	}
	return "shard" + strconv.Itoa(number)
}

// Check returns ErrInvalid if the partition cannot be used.
func (p Partition) Check() error {
	if len(p.Shards) == 0 {
		return eris.Wrap(ErrInvalid, "no shards")
	}
	names := map[string]bool{}
	for _, s := range p.Shards {
		if names[s.Name] || !namePattern.MatchString(s.Name) || s.Slice < 0 || s.Slice >= max(1, s.Slices) {
			return eris.Wrapf(ErrInvalid, "shard %q", s.Name)
		}
		names[s.Name] = true
	}
	return nil
}

// ShardOf returns the name of the worker's shard. The workers of a failure domain that the
// partition does not name are in one of its shards.
func (p Partition) ShardOf(w dotterworker.Worker) string {
	place := w.Rack
	if place == "" {
		place = w.ID
	}
	for _, s := range p.Shards {
		if s.Includes(w.FailureDomain) && hash(place)%max(1, s.Slices) == s.Slice {
			return s.Name
		}
	}
	return p.Shards[hash(w.FailureDomain)%len(p.Shards)].Name
}

func hash(text string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return int(h.Sum32() >> 1)
}
