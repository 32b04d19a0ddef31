package dotterboard

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

const (
	// maxStandingAge is how old what another owner has published of its need may be for a part to be
	// given to it: owners publish every 0.2 s, and weak hosts read that every 1.2 s.
	maxStandingAge = 2 * dotterclock.Second
	// grantInterval is how often a part of a tenant's cap is given at most: after it the need that
	// the receiver publishes shows the last one.
	grantInterval = 1 * dotterclock.Second
	// minFreed is the smallest part that is given of one that becomes free as runs end: each grant
	// takes a commit of both owners.
	minFreed = dotterquota.Whole / 100
	// claimDelay is how long a step that needs more than the shard's part waits until the shard claims
	// what it needs: what others do not use arrives before, at least once in grantInterval.
	claimDelay = 1 * dotterclock.Second
)

// Grant gives parts of tenants' caps to another shard. The commit that lowers the giver's parts
// writes it, and the receiver's next commit applies and deletes it.
type Grant struct {
	Parts map[string]dotterquota.Part // by tenant
	To    string                      `json:"-"` // the receiving shard
}

// allotments is what the board knows of the division of the tenants' caps among shards.
type allotments struct {
	shard         string
	index, shards int                             // of the shard among all, from 0, and their number
	unusable      bool                            // the stored parts cannot be read
	parts         map[string]dotterquota.Part     // by tenant; without an entry an equal part
	withheld      map[string]dotterquota.Part     // by tenant: not used for starts, but given once it is free
	standings     map[string]dotterquota.Standing // by tenant, as of the last plan
	others        map[string][]publishedStanding  // of the peers, by tenant
	givenAt       map[string]dotterclock.Millis   // by tenant
	given         map[string]dotterquota.Grant    // the last one, by tenant
	claims        map[string]claim                // by tenant
	grants        map[string]*Grant               // by receiver, not in a batch yet
	received      []receivedGrant                 // not applied yet
	applied       []string                        // keys of grants that are part of parts, but not deleted
	dirty         bool                            // parts is not stored
}

// claim is a claim of this shard for one of its steps.
type claim struct {
	step   *step
	ticket int64
}

// publishedStanding is what another owner has published.
type publishedStanding struct {
	dotterquota.Standing
	seenAt dotterclock.Millis // on this owner's clock
}

// receivedGrant is a stored grant to this shard.
type receivedGrant struct {
	key string
	Grant
}

func newAllotments() allotments {
	return allotments{
		shards: 1, parts: map[string]dotterquota.Part{}, withheld: map[string]dotterquota.Part{}, standings: map[string]dotterquota.Standing{},
		others: map[string][]publishedStanding{}, givenAt: map[string]dotterclock.Millis{}, grants: map[string]*Grant{},
		given: map[string]dotterquota.Grant{}, claims: map[string]claim{},
	}
}

// part returns the part of the tenant's cap that the shard has.
func (a *allotments) part(tenant string) dotterquota.Part {
	if a.unusable {
		return 0
	}
	if part, ok := a.parts[tenant]; ok {
		return part
	}
	return dotterquota.Equal(a.index, a.shards)
}

// SetShard tells the board its shard, and its place among all of the partition. It must be called
// before Restore.
func (b *Board) SetShard(name string, index, shards int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &b.quota.allotments
	a.shard, a.index, a.shards = name, index, shards
}

// RestoreAllotments applies the stored parts of the tenants' caps. After an error the shard has no
// part of any, since the sum of the shards' parts might exceed the whole otherwise.
func (b *Board) RestoreAllotments(stored []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &b.quota.allotments
	parts := map[string]dotterquota.Part{}
	err := json.Unmarshal(stored, &parts)
	for tenant, part := range parts {
		if err == nil && (part < 0 || part > dotterquota.Whole) {
			err = eris.Wrapf(ErrRecordInvalid, "part %d of the cap of tenant %q", part, tenant)
		}
	}
	if err != nil {
		a.unusable = true
		return err
	}
	a.parts = parts
	return nil
}

// AbsorbGrant applies a grant to this shard that is stored under key. It does nothing if the grant
// was applied before.
func (b *Board) AbsorbGrant(key string, g Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &b.quota.allotments
	if _, known := b.absorbed[key]; known || a.unusable {
		return
	}
	b.absorbed[key] = 0
	a.received = append(a.received, receivedGrant{key, g})
	b.applyGrants()
	b.notify()
}

// applyGrants raises the shard's parts by received grants. One batch must delete all grants that
// its parts contain, so that their number is bounded.
func (b *Board) applyGrants() {
	a := &b.quota.allotments
	for len(a.received) > 0 && len(a.applied) < maxIncoming {
		g := a.received[0]
		a.received = a.received[1:]
		if !a.fits(g.Grant) {
			b.logger.Error("grant not applied: it exceeds the cap", zap.String("Key", g.key), zap.Any("Parts", g.Parts))
			continue
		}
		for _, tenant := range slices.Sorted(maps.Keys(g.Parts)) {
			a.parts[tenant] = a.part(tenant) + g.Parts[tenant]
			b.logger.Info("part of a cap received", zap.String("Tenant", tenant), zap.Float64("Part", g.Parts[tenant].Fraction()),
				zap.Float64("Allotment", a.parts[tenant].Fraction()), zap.String("Key", g.key))
		}
		a.applied, a.dirty = append(a.applied, g.key), true
	}
}

// fits reports whether the shard's parts with the grant are within the whole.
func (a *allotments) fits(g Grant) bool {
	for tenant, part := range g.Parts {
		if part < 0 || part > dotterquota.Whole || a.part(tenant)+part > dotterquota.Whole {
			return false
		}
	}
	return true
}

// setStandings records what the peers have published of tenants.
func (b *Board) setStandings(peers []Peer) {
	others, needed := map[string][]publishedStanding{}, false
	for _, p := range peers {
		for tenant, t := range p.Vacancy.Tenants {
			standing := dotterquota.Standing{
				Shard: p.Shard, Part: dotterquota.Part(t.Part), Need: dotterquota.Part(t.Need), Unused: dotterquota.Part(t.Unused),
				Spare: dotterquota.Part(t.Spare), Lasting: dotterquota.Part(t.Lasting), Least: dotterquota.Part(t.Least),
				Claim: dotterquota.Claim{Part: dotterquota.Part(t.Claim), Ticket: t.Ticket},
			}
			if !standing.Valid() {
				continue
			}
			others[tenant] = append(others[tenant], publishedStanding{standing, p.SeenAt})
			needed = needed || t.Need > 0 || t.Claim > t.Part
		}
	}
	b.quota.allotments.others = others
	if needed {
		b.notify() // an idle shard makes no plans
	}
}

// othersOf returns the standings of the other shards that are known well enough. What was given within
// grantInterval counts for its receiver, which may not have published it yet.
func (a *allotments) othersOf(now dotterclock.Millis, tenant string) []dotterquota.Standing {
	var standings []dotterquota.Standing
	for _, s := range a.others[tenant] {
		if now-s.seenAt > maxStandingAge {
			continue
		}
		if last := a.given[tenant]; last.To == s.Shard && a.gaveJustNow(now, tenant) {
			s.Part = min(dotterquota.Whole, s.Part+last.Part)
		}
		standings = append(standings, s.Standing)
	}
	return standings
}

// gaveJustNow reports whether the shard has given of the tenant's cap within grantInterval.
func (a *allotments) gaveJustNow(now dotterclock.Millis, tenant string) bool {
	at, ok := a.givenAt[tenant]
	return ok && now-at < grantInterval
}

// allot updates the shard's standing with each tenant, and gives parts of caps to other shards.
func (p *plan) allot() {
	b := p.board
	a := &b.quota.allotments
	if a.shards == 1 || a.unusable || !b.document.HasTenants() {
		return
	}
	held, steps := map[string]dotterroom.Room{}, map[string][]*step{}
	for _, c := range p.all {
		if s := c.step; s.heldSince != 0 && s.waiting > 0 && s.occurrence.job.outcome == "" {
			tenant := s.occurrence.job.Tenant
			held[tenant] = held[tenant].Add(s.waitingRoom())
			if j := s.occurrence.job; !j.leaving && !b.excluded[j.ID] {
				steps[tenant] = append(steps[tenant], s)
			}
		}
	}
	maps.DeleteFunc(a.claims, func(tenant string, c claim) bool { return !slices.Contains(steps[tenant], c.step) })
	a.standings = map[string]dotterquota.Standing{}
	for name, t := range b.document.Tenants() {
		if t.Cap.IsZero() {
			continue
		}
		account := b.account(name)
		account.Allotment = a.part(name)
		own := dotterquota.NewStanding(a.shard, account, held[name]).WithUse(account)
		own.Least, own.Claim = p.claim(name, account, steps[name])
		a.standings[name] = own
		p.give(name, account, own)
	}
}

// claim returns the least part with which any of the tenant's held steps can start, and the shard's
// claim. A claim is made for the step that has waited longest for more than the shard's part, and stays
// until a task of the step has started.
func (p *plan) claim(tenant string, account dotterquota.Account, held []*step) (dotterquota.Part, dotterquota.Claim) {
	a := &p.board.quota.allotments
	least, oldest, claimed := dotterquota.Part(0), (*step)(nil), dotterquota.Part(0)
	for _, s := range held {
		part, ok := dotterquota.LeastPart(account, dotterquota.Request{Size: s.Size, Count: s.waiting, Gang: s.Gang})
		if ok && (least == 0 || part < least) {
			least = part
		}
		claims := a.claims[tenant].step == s
		switch {
		case !ok:
			s.shortSince = 0
			if claims {
				delete(a.claims, tenant)
			}
			continue
		case claims:
			claimed = part
			continue
		case part <= account.Allotment:
			s.shortSince = 0
			continue
		case s.shortSince == 0:
			s.shortSince = p.now
		}
		if oldest == nil || s.shortSince < oldest.shortSince {
			oldest = s
		}
	}
	if c, ok := a.claims[tenant]; ok {
		return least, dotterquota.Claim{Part: claimed, Ticket: c.ticket}
	}
	if oldest == nil || p.now-oldest.shortSince < claimDelay {
		return least, dotterquota.Claim{}
	}
	part, _ := dotterquota.LeastPart(account, dotterquota.Request{Size: oldest.Size, Count: oldest.waiting, Gang: oldest.Gang})
	c := claim{oldest, dotterquota.NextTicket(a.othersOf(p.now, tenant))}
	a.claims[tenant] = c
	j := oldest.occurrence.job
	p.board.logger.Info("part of a cap claimed", zap.String("Tenant", tenant), zap.String("Job", string(j.ID)), zap.Int("Step", oldest.number),
		zap.Float64("Part", part.Fraction()), zap.Float64("Allotment", account.Allotment.Fraction()), zap.Int64("Ticket", c.ticket),
		zap.Int64("ShortMs", int64(p.now-oldest.shortSince)), zap.Int64("Version", p.board.document.Version))
	return least, dotterquota.Claim{Part: part, Ticket: c.ticket}
}

// endClaim notes that tasks of the step have started.
func (b *Board) endClaim(s *step) {
	a := &b.quota.allotments
	s.shortSince = 0
	if tenant := s.occurrence.job.Tenant; a.claims[tenant].step == s {
		delete(a.claims, tenant)
	}
}

// give gives a part of the tenant's cap to another shard, or withholds it until runs have ended.
func (p *plan) give(tenant string, account dotterquota.Account, own dotterquota.Standing) {
	a := &p.board.quota.allotments
	delete(a.withheld, tenant)
	others, waits := a.othersOf(p.now, tenant), a.gaveJustNow(p.now, tenant)
	grant, claimed := dotterquota.Serve(own, others, a.shards)
	if !claimed {
		if waits {
			return
		}
		grant = dotterquota.Give(own, others)
	}
	free := own.Part - dotterquota.Needed(account.Use.Room, account.Cap)
	part := min(grant.Part, free)
	if waits || part <= 0 || part < grant.Part && part < minFreed {
		if grant.Part > 0 {
			a.withheld[tenant] = grant.Part
		}
		return
	}
	a.givenAt[tenant], a.given[tenant] = p.now, dotterquota.Grant{To: grant.To, Part: part}
	a.parts[tenant] = own.Part - part
	g, ok := a.grants[grant.To]
	if !ok {
		g = &Grant{To: grant.To, Parts: map[string]dotterquota.Part{}}
		a.grants[grant.To] = g
	}
	g.Parts[tenant] += part
	a.dirty = true
	p.board.counters.Granted++
	p.board.logger.Info("part of a cap given", zap.String("Tenant", tenant), zap.String("To", grant.To), zap.Float64("Part", part.Fraction()),
		zap.Float64("Allotment", (own.Part-part).Fraction()), zap.Float64("Unused", own.Unused.Fraction()), zap.Float64("Need", own.Need.Fraction()), zap.Any("Others", others),
		zap.String("Use", account.Use.Room.String()), zap.String("Cap", account.Cap.String()), zap.Int64("Version", p.board.document.Version))
	p.board.notify()
}

// publishedTenants returns what other owners need to know of tenants with caps.
func (b *Board) publishedTenants() map[string]dottervacancy.Tenant {
	published := map[string]dottervacancy.Tenant{}
	for name, s := range b.quota.allotments.standings {
		published[name] = dottervacancy.Tenant{
			Part: int64(s.Part), Need: int64(s.Need), Unused: int64(s.Unused),
			Spare: int64(s.Spare), Lasting: int64(s.Lasting), Least: int64(s.Least), Claim: int64(s.Claim.Part), Ticket: s.Claim.Ticket,
		}
	}
	return published
}

// addAllotments moves the pending changes of parts to the batch. They are in one transaction, so
// that a part is never in two places.
func (b *Board) addAllotments(batch *Batch, limit int) error {
	a := &b.quota.allotments
	needed := 1 + len(a.grants) + len(a.applied)
	if !a.dirty || batch.entries+needed > limit {
		return nil
	}
	stored, err := json.Marshal(a.parts)
	if err != nil {
		return err
	}
	batch.Allotments = stored
	batch.entries += needed
	for _, to := range slices.Sorted(maps.Keys(a.grants)) {
		batch.Grants = append(batch.Grants, a.grants[to])
	}
	batch.Absorbed = append(batch.Absorbed, a.applied...)
	a.grants, a.applied, a.dirty = map[string]*Grant{}, nil, false
	b.applyGrants()
	return nil
}
