package dotterfairshare

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Shares tracks the room held by each team and partner relative to their
// entitlements.
type Shares struct {
	pool     dotterroom.Room
	teams    map[string]*team
	partners map[string]*partner
}

type team struct {
	name    string
	partner *partner
	weight  float64
	quota   dotterroom.Room
	use     dotterroom.Room
	key     float64
}

type partner struct {
	name    string
	percent float64
	use     dotterroom.Room
	key     float64
}

// New returns the Shares for the split configured in document, where use is the
// room held by each team in a pool with the given capacity.
func New(document dotterconfig.Document, use map[string]dotterroom.Room, pool dotterroom.Room) *Shares {
	s := &Shares{
		pool:     pool,
		teams:    make(map[string]*team, len(document.Teams)),
		partners: make(map[string]*partner, len(document.Partners)),
	}
	for _, p := range document.Partners {
		s.partners[p.Name] = &partner{name: p.Name, percent: p.SharePercent, key: ratio(0, p.SharePercent)}
	}
	for _, t := range document.Teams {
		s.teams[t.Name] = &team{name: t.Name, partner: s.partner(t.Partner), weight: t.Weight, quota: t.Quota, key: ratio(0, t.Weight)}
	}
	for name, room := range use {
		s.Add(name, room)
	}
	return s
}

// Add adds room to what the named team holds.
func (s *Shares) Add(name string, room dotterroom.Room) {
	t := s.team(name)
	t.use = t.use.Add(room)
	t.partner.use = t.partner.use.Add(room)
	t.key = ratio(t.use.DominantShare(s.pool), t.weight)
	t.partner.key = ratio(t.partner.use.DominantShare(s.pool), t.partner.percent)
}

// Use returns the room held by the named team.
func (s *Shares) Use(name string) dotterroom.Room {
	return s.team(name).use
}

// Allows reports whether the named team can hold room in addition without
// exceeding its quota.
func (s *Shares) Allows(name string, room dotterroom.Room) bool {
	t := s.team(name)
	after := t.use.Add(room)
	return withinLimit(after.MilliCores, t.quota.MilliCores) &&
		withinLimit(after.MemoryMB, t.quota.MemoryMB) &&
		withinLimit(after.Accelerators, t.quota.Accelerators)
}

// First returns the index in names of the team that goes first. There must be
// at least one name.
func (s *Shares) First(names []string) int {
	first := 0
	leading := s.team(names[0])
	for i := 1; i < len(names); i++ {
		t := s.team(names[i])
		if before(t, leading) {
			first, leading = i, t
		}
	}
	return first
}

// Before reports whether team a goes before team b.
func (s *Shares) Before(a, b string) bool {
	return before(s.team(a), s.team(b))
}

func before(a, b *team) bool {
	if a.partner != b.partner {
		if a.partner.key != b.partner.key {
			return a.partner.key < b.partner.key
		}
		return a.partner.name < b.partner.name
	}
	if a.key != b.key {
		return a.key < b.key
	}
	return a.name < b.name
}

// team returns the named team. A team that is no longer configured belongs to
// no partner and goes last.
func (s *Shares) team(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name, partner: s.partner(""), key: math.Inf(1)}
		s.teams[name] = t
	}
	return t
}

func (s *Shares) partner(name string) *partner {
	p, ok := s.partners[name]
	if !ok {
		p = &partner{name: name, key: math.Inf(1)}
		s.partners[name] = p
	}
	return p
}

// ratio returns share divided by entitlement, or infinity without an
// entitlement.
func ratio(share, entitlement float64) float64 {
	if entitlement <= 0 {
		return math.Inf(1)
	}
	return share / entitlement
}

func withinLimit(use, limit int64) bool {
	return limit == 0 || use <= limit
}
