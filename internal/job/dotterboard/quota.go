package dotterboard

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

// heldLogInterval is the shortest time between two log lines on steps of one tenant that its
// cap holds, and on its jobs beyond its rate. With 68 tenants each is at most 14 lines a second.
const heldLogInterval = 5 * dotterclock.Second

// exclusiveDelay is how long a gang, a task larger than the cap, or a step for which its shard has a
// claim waits for runs of its tenant to end before nothing else of the tenant starts, whatever the
// order of placement. Tasks of quick jobs take up to a second, so it mostly gets its turn by the
// order before.
const exclusiveDelay = 1000 * dotterclock.Millisecond

// quota is what the board knows of the caps of tenants.
type quota struct {
	uses      dotterquota.Uses              // of everything that may run, by tenant
	loggedAt  map[string]dotterclock.Millis // when a held step was last logged, by tenant
	exclusive map[string]*step              // by tenant: a step for which the others wait; see exclusiveDelay
	meters    map[string]*dotterquota.Meter // of the rates at which the tenants' jobs were accepted
	fullAt    dotterclock.Millis            // when a step last found no worker; 0: never

	beyondLoggedAt map[string]dotterclock.Millis // when jobs beyond the rate were last logged, by tenant
	allotments     allotments
}

func newQuota() quota {
	return quota{uses: dotterquota.NewUses(), loggedAt: map[string]dotterclock.Millis{}, exclusive: map[string]*step{}, meters: map[string]*dotterquota.Meter{}, beyondLoggedAt: map[string]dotterclock.Millis{}, allotments: newAllotments()}
}

// account returns the account of a tenant in this shard. A tenant that is not configured has no cap.
func (b *Board) account(tenant string) dotterquota.Account {
	t, _ := b.document.Tenant(tenant)
	a := &b.quota.allotments
	return dotterquota.Account{Cap: t.Cap, Allotment: a.part(tenant) - a.withheld[tenant], Use: b.quota.uses.Of(tenant)}
}

// placeWithinCap places as many tasks of the step as the cap of its tenant allows. It reports
// false only if workers were lacking.
func (p *plan) placeWithinCap(s *step) bool {
	j := s.occurrence.job
	if j.Tenant == "" || s.Gang && s.waiting < s.Count {
		s.endHold(p.now)
		p.left = s.waiting
		return p.place(s)
	}
	a := p.board.account(j.Tenant)
	d := dotterquota.Decide(a, dotterquota.Request{Size: s.Size, Count: s.waiting, Gang: s.Gang})
	first := p.board.exclusiveStep(j.Tenant)
	if first != s && (first != nil || p.held[j.Tenant]) {
		d = dotterquota.Decision{Verdict: max(d.Verdict, dotterquota.Held)}
	}
	exclusive := d.Verdict == dotterquota.Exclusive || d.Verdict == dotterquota.Held && p.board.quota.allotments.claims[j.Tenant].step == s
	if first == s && !exclusive {
		delete(p.board.quota.exclusive, j.Tenant)
	}
	if d.Verdict == dotterquota.Never {
		p.failNeverStarting(s, a)
	}
	if d.Start > 0 {
		p.left = d.Start
		placed := p.place(s)
		if p.left < d.Start {
			p.board.endClaim(s)
		}
		if !placed || p.left > 0 {
			s.endHold(p.now) // the rest waits for workers, or was handed over
			return placed
		}
	}
	if d.Verdict == dotterquota.Within {
		s.endHold(p.now)
		return true
	}
	p.held[j.Tenant] = p.held[j.Tenant] || d.Verdict < dotterquota.Short
	p.board.hold(p.now, s, a, d)
	if exclusive && p.now-s.heldSince >= exclusiveDelay && p.board.exclusiveStep(j.Tenant) == nil {
		p.board.quota.exclusive[j.Tenant] = s
	}
	return true
}

// exclusiveStep returns the step of the tenant for which its others wait, or nil.
func (b *Board) exclusiveStep(tenant string) *step {
	s, ok := b.quota.exclusive[tenant]
	if !ok {
		return nil
	}
	if j := s.occurrence.job; s.heldSince == 0 || s.waiting == 0 || j.outcome != "" || j.leaving || b.jobs[j.ID] != j || b.excluded[j.ID] {
		delete(b.quota.exclusive, tenant)
		return nil
	}
	return s
}

// hold notes that the cap of the step's tenant keeps some of its tasks from starting.
func (b *Board) hold(now dotterclock.Millis, s *step, a dotterquota.Account, d dotterquota.Decision) {
	if s.heldSince == 0 {
		s.heldSince = now
		b.counters.Held++
	}
	j := s.occurrence.job
	if at, ok := b.quota.loggedAt[j.Tenant]; ok && now-at < heldLogInterval {
		return
	}
	b.quota.loggedAt[j.Tenant] = now
	b.logger.Info("step held by the cap of its tenant", zap.String("Tenant", j.Tenant), zap.String("Job", string(j.ID)), zap.Int("Step", s.number),
		zap.String("Verdict", d.Verdict.String()), zap.Int("Started", d.Start), zap.Int("Tasks", s.waiting), zap.String("Size", s.Size.String()), zap.Bool("Gang", s.Gang),
		zap.String("Use", a.Use.Room.String()), zap.Int("Runs", a.Use.Runs), zap.String("Cap", a.Cap.String()), zap.Float64("Allotment", a.Allotment.Fraction()),
		zap.Int64("HeldMs", int64(now-s.heldSince)), zap.Int64("Version", b.document.Version))
}

// endHold notes that the cap of the step's tenant holds none of its tasks.
func (s *step) endHold(now dotterclock.Millis) {
	if s.heldSince != 0 {
		s.occurrence.job.heldFor += now - s.heldSince
		s.heldSince, s.shortSince = 0, 0
	}
}

// heldTime returns for how long the cap of the job's tenant has held tasks, as a sum over its steps.
func (j *job) heldTime(now dotterclock.Millis) dotterclock.Millis {
	sum := j.heldFor
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.heldSince != 0 {
				sum += now - s.heldSince
			}
		}
	}
	return sum
}

// failNeverStarting fails the job of a gang that is larger than its tenant's cap, once the job
// is too late to be of use. Until then the cap may be raised.
func (p *plan) failNeverStarting(s *step, a dotterquota.Account) {
	if s.LongRunning {
		return // its objective says nothing of how long it may wait
	}
	o := s.occurrence
	begin, objective := o.releaseTime(p.wall, p.now), o.objective(p.wall, p.now)
	if p.now <= begin+usefulFactor*(objective-begin) {
		return
	}
	p.board.finish(p.now, o.job, dotterjob.Failed, fmt.Sprintf("gang of step %d, %d tasks of %s, is larger than the cap of its tenant, %s", s.number, s.Count, s.Size, a.Cap))
}
