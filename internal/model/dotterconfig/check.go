package dotterconfig

import (
	"fmt"
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// shareSumTolerance is how far the sum of the partners' shares may be from 100, in percent.
const shareSumTolerance = 0.01

// Upper bounds of fields.
const (
	maxRank          = 100
	maxTargetMillis  = 600_000
	maxTimeoutMillis = 600_000
	maxRunMillis     = 30 * 24 * 3600 * 1000
	maxTaskAttempts  = 20
	maxCostWeight    = 1000
	maxTeamWeight    = 1000
	maxShards        = 64
)

// Check returns a *dottercheck.Faults that lists every fault of d, or nil.
func (d Document) Check() error {
	var c dottercheck.Checker
	partners := d.checkPartners(&c)
	teams := d.checkTeams(&c, partners)
	d.checkTemplates(&c, teams)
	d.checkFailureDomains(&c)
	d.checkDraining(&c)
	return c.Err("configuration")
}

func (d Document) checkPartners(c *dottercheck.Checker) map[string]bool {
	seen := make(map[string]bool)
	sum := 0.0
	for i, p := range d.Partners {
		at := fmt.Sprintf("/Partners/%d", i)
		c.Name(at+"/Name", p.Name)
		c.Unique(at+"/Name", p.Name, seen)
		dottercheck.Range(c, at+"/SharePercent", p.SharePercent, 0, 100, "percent")
		sum += p.SharePercent
	}
	if len(d.Partners) == 0 {
		c.Fail("/Partners", "at least one partner is needed")
		return seen
	}
	if math.Abs(sum-100) > shareSumTolerance {
		c.Fail("/Partners", fmt.Sprintf("the partners' shares sum to %g percent, allowed is 100", sum))
	}
	return seen
}

func (d Document) checkTeams(c *dottercheck.Checker, partners map[string]bool) map[string]bool {
	seen := make(map[string]bool)
	for i, t := range d.Teams {
		at := fmt.Sprintf("/Teams/%d", i)
		c.Name(at+"/Name", t.Name)
		c.Unique(at+"/Name", t.Name, seen)
		if !partners[t.Partner] {
			c.Fail(at+"/Partner", fmt.Sprintf("there is no partner %q", t.Partner))
		}
		if t.Weight <= 0 || t.Weight > maxTeamWeight {
			c.Fail(at+"/Weight", fmt.Sprintf("%g is out of range, allowed is above 0 to %d", t.Weight, maxTeamWeight))
		}
		checkRoom(c, at+"/Quota", t.Quota)
	}
	return seen
}

func (d Document) checkTemplates(c *dottercheck.Checker, teams map[string]bool) {
	seen := make(map[string]bool)
	for i, t := range d.Templates {
		at := fmt.Sprintf("/Templates/%d", i)
		c.Name(at+"/Name", t.Name)
		c.Unique(at+"/Name", t.Name, seen)
		if !teams[t.Team] {
			c.Fail(at+"/Team", fmt.Sprintf("there is no team %q", t.Team))
		}
		t.check(c, at)
	}
}

func (d Document) checkFailureDomains(c *dottercheck.Checker) {
	seen := make(map[string]bool)
	for i, f := range d.FailureDomains {
		at := fmt.Sprintf("/FailureDomains/%d", i)
		c.Name(at+"/Name", f.Name)
		c.Unique(at+"/Name", f.Name, seen)
		c.Name(at+"/Region", f.Region)
		dottercheck.Range(c, at+"/Shards", f.Shards, 0, maxShards, "shards")
	}
	if len(d.FailureDomains) == 0 {
		c.Fail("/FailureDomains", "at least one failure domain is needed")
	}
}

func (d Document) checkDraining(c *dottercheck.Checker) {
	seen := make(map[string]bool)
	for i, h := range d.Draining {
		at := fmt.Sprintf("/Draining/%d", i)
		c.Name(at, h)
		c.Unique(at, h, seen)
	}
}

// check records the faults of t's fields, except for its name and team. at is the JSON
// pointer of t.
func (t Template) check(c *dottercheck.Checker, at string) {
	c.OneOf(at+"/Kind", string(t.Kind), string(KindService), string(KindTask))
	dottercheck.Range(c, at+"/Rank", t.Rank, 0, maxRank, "")
	dottercheck.Range(c, at+"/TargetMillis", t.TargetMillis, 0, maxTargetMillis, "ms")
	dottercheck.Range(c, at+"/TimeoutMillis", t.TimeoutMillis, 0, maxTimeoutMillis, "ms")
	dottercheck.Range(c, at+"/SharePercent", t.SharePercent, 0, 100, "percent")
	dottercheck.Range(c, at+"/RunMillis", t.RunMillis, 0, maxRunMillis, "ms")
	dottercheck.Range(c, at+"/MaxAttempts", t.MaxAttempts, 0, maxTaskAttempts, "attempts")
	dottercheck.Range(c, at+"/CostWeight", t.CostWeight, 0, maxCostWeight, "")
	c.OneOf(at+"/KeyedOutage", string(t.KeyedOutage), "", string(RuleRefuse), string(RuleAllow))
	c.OneOf(at+"/CutOffStarts", string(t.CutOffStarts), "", string(RuleRefuse), string(RuleAllow))
	checkRoom(c, at+"/Size", t.Size)
	if t.Kind == KindService && t.TimeoutMillis == 0 {
		c.Fail(at+"/TimeoutMillis", "a service needs a timeout, allowed is 1 to 600000 ms")
	}
	if t.Kind == KindTask && t.Size.IsZero() {
		c.Fail(at+"/Size", "a task needs a size above zero in one component")
	}
	if t.Hedge && !t.Repeatable {
		c.Fail(at+"/Hedge", "only repeatable requests may be hedged")
	}
}

func checkRoom(c *dottercheck.Checker, at string, r dotterroom.Room) {
	dottercheck.Range(c, at+"/MilliCores", r.MilliCores, 0, math.MaxInt32, "thousandths of a core")
	dottercheck.Range(c, at+"/MemoryMB", r.MemoryMB, 0, math.MaxInt32, "MB")
	dottercheck.Range(c, at+"/Accelerators", r.Accelerators, 0, math.MaxInt32, "devices")
}
