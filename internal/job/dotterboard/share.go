package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterfairshare"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

const (
	// fullMemory is how long the workers count as full after a step has found none: a step that
	// waits is tried again within replanInterval.
	fullMemory = 2 * replanInterval
	// maxInterleaved is how many steps a plan orders by shares. A full pool has room for a few of
	// them at a time.
	maxInterleaved = 200
	// commonPartner is the partner of all tenants: their shares have one level.
	commonPartner = "tenants"
)

// orderByTenant reorders candidates, which are in the order of placement: of one rank, jobs beyond
// the rates of their tenants go last, and while the workers are full, like steps of several
// tenants share the room by weight.
func (p *plan) orderByTenant(cs []candidate) {
	b := p.board
	if !b.document.HasTenants() {
		return
	}
	for name, m := range b.quota.meters {
		m.Settle(p.wall, b.rateOf(name))
	}
	slices.SortStableFunc(cs, candidate.compareClass)
	if b.quota.fullAt == 0 || p.now-b.quota.fullAt > fullMemory {
		return
	}
	p.noteBeyond(cs)
	shares := b.shares()
	for begin := 0; begin < len(cs); {
		end := begin + 1
		for end < len(cs) && cs[begin].compareClass(cs[end]) == 0 {
			end++
		}
		interleave(shares, cs[begin:end])
		begin = end
	}
}

// noteBeyond counts and logs the jobs that go after others because their tenants have sent more than
// their rates, while workers are full.
func (p *plan) noteBeyond(cs []candidate) {
	b := p.board
	steps := map[string]int{}
	for _, c := range cs {
		if !c.isBeyond() {
			continue
		}
		j := c.step.occurrence.job
		steps[j.Tenant]++
		if !j.deprioritized {
			j.deprioritized = true
			b.counters.Beyond++
		}
	}
	for tenant, n := range steps {
		if at, ok := b.quota.beyondLoggedAt[tenant]; ok && p.now-at < heldLogInterval {
			continue
		}
		b.quota.beyondLoggedAt[tenant] = p.now
		use := b.quota.uses.Of(tenant)
		b.logger.Info("jobs beyond the rate of their tenant go after others", zap.String("Tenant", tenant), zap.Int("Steps", n), zap.Int("AllSteps", len(cs)),
			zap.Float64("Rate", b.rateOf(tenant)), zap.String("Use", use.Room.String()), zap.Int("Runs", use.Runs),
			zap.Int64("FullMsAgo", int64(p.now-b.quota.fullAt)), zap.Int64("Version", b.document.Version))
	}
}

// compareClass orders candidates by all that goes before the shares of their tenants.
func (c candidate) compareClass(other candidate) int {
	return cmp.Or(
		compareBool(other.missed, c.missed),
		cmp.Compare(c.step.occurrence.job.queue.Rank, other.step.occurrence.job.queue.Rank),
		compareBool(c.isBeyond(), other.isBeyond()),
		cmp.Compare(c.timeliness, other.timeliness),
		compareBool(c.step.LongRunning, other.step.LongRunning),
	)
}

// isBeyond reports whether the job is beyond the rate of its tenant.
func (c candidate) isBeyond() bool {
	a := c.step.occurrence.job.arrival
	return a != nil && a.Beyond
}

// interleave reorders candidates of one class by the shares of their tenants.
func interleave(shares *dotterfairshare.Shares, cs []candidate) {
	demands := make([]dotterfairshare.Demand, len(cs))
	for i, c := range cs {
		demands[i] = dotterfairshare.Demand{Team: c.step.occurrence.job.Tenant, Room: c.step.waitingRoom()}
	}
	ordered := make([]candidate, 0, len(cs))
	for _, i := range shares.Interleave(demands, maxInterleaved) {
		ordered = append(ordered, cs[i])
	}
	copy(cs, ordered)
}

// shares returns the shares of the tenants. Jobs without a tenant share as one of mean weight.
func (b *Board) shares() *dotterfairshare.Shares {
	document := dotterconfig.Document{Partners: []dotterconfig.Partner{{Name: commonPartner, SharePercent: 100}}}
	use, sum := map[string]dotterroom.Room{}, 0.0
	add := func(name string, weight float64) {
		document.Teams = append(document.Teams, dotterconfig.Team{Name: name, Partner: commonPartner, Weight: weight})
		use[name] = b.quota.uses.Of(name).Room
	}
	for name, t := range b.document.Tenants() {
		add(name, t.Weight)
		sum += t.Weight
	}
	add("", sum/float64(len(b.document.Tenants())))
	pool := dotterroom.Room{}
	for _, w := range b.workersByID {
		if w.inDirectory {
			pool = pool.Add(w.Capacity)
		}
	}
	return dotterfairshare.New(document, use, pool)
}

// rateOf returns the number of jobs per second that the tenant may send to this shard, 0 if the
// tenant is not configured.
func (b *Board) rateOf(tenant string) float64 {
	t, _ := b.document.Tenant(tenant)
	return t.Weight * float64(b.quota.allotments.part(tenant)) / float64(dotterquota.Whole)
}

// noteArrival counts an accepted job for the rate of its tenant.
func (b *Board) noteArrival(j *job) {
	if j.Tenant == "" || !b.document.HasTenants() {
		return
	}
	m, ok := b.quota.meters[j.Tenant]
	if !ok {
		m = &dotterquota.Meter{}
		b.quota.meters[j.Tenant] = m
	}
	j.arrival = m.Add(j.AcceptedAt, string(j.ID))
}

// forgetArrival leaves what a job that was handed over had of the rate to later jobs.
func (b *Board) forgetArrival(j *job) {
	if j.arrival != nil {
		b.quota.meters[j.Tenant].Remove(j.arrival)
	}
}

// noteFull records that a step has found no worker.
func (b *Board) noteFull(now dotterclock.Millis) {
	b.quota.fullAt = now
}
