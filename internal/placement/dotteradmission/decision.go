package dotteradmission

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

const (
	// UsefulFactor is how many times its objective a job may take and still be of use.
	UsefulFactor = 3
	// MaxAge is the age from which an outlook is not used.
	MaxAge = 2 * dotterclock.Second
	// minEstimateFraction is the fraction of its declared run time that a job takes at least.
	// Declared run times are off by about half, in either direction.
	minEstimateFraction = 0.6
	// drainMargin is the factor by which the drain may rise after it was measured: workers
	// come back, and serving tasks leave more processor time unused within seconds.
	drainMargin = 1.5
	// minLeftFraction is the part of the time in which it is of use to start a job for which
	// work ahead of it must stay of use, too, to count. What expires sooner leaves the room to the
	// job: without this condition up to 8% of the refused jobs of a burst ended in time.
	minLeftFraction = 0.6
	// minFirstRatio is the ratio of the work ahead of a job to what is done until it can no
	// longer end by its objective, above which a job of dependent steps does not. Its first
	// step may start at the last moment; its other ones have missed the objective then, and
	// wait behind the jobs that can still meet it, unless the first one took less than 0.6 of its
	// declared time. That holds for a tenth of the jobs if these times are off by up to 90%, so
	// that a tenth of one in 1 + minFirstRatio ends in time. At 1.0, three of 75 refused jobs of
	// a burst of quick jobs beside large ones did.
	minFirstRatio = 1.5
	// minOnlyRatio is the same for a job whose steps all can start at once. While the overload
	// lasts, of the jobs that are about to miss their objective as many are started as there
	// is room for, which is one in 1 + minOnlyRatio. This keeps within the 5% of refused jobs
	// that may turn out to be servable; in a burst of five times the workers' room, 16% of
	// such jobs ended in time.
	minOnlyRatio = 19.0
)

// Reason tells why a job was refused.
type Reason string

// Reasons of refusals.
const (
	Backlog   Reason = "Backlog"   // of its priority and higher ones
	TenantCap Reason = "TenantCap" // backlog of its tenant, which is at its cap

	LargerThanCap Reason = "LargerThanCap" // a gang exceeds its tenant's cap (dotterquota.FitsCap)
)

// Shard is a live shard that has workers for the job.
type Shard struct {
	Name    string
	Outlook dottervacancy.Outlook
	SeenAge dotterclock.Millis // time since this host saw that its owner had committed
}

// Decision is the decision on a submission and what decided it.
type Decision struct {
	Refused   bool
	Reason    Reason
	Shard     string             // in which the job would wait the least
	Age       dotterclock.Millis // of the shard's outlook
	Work      int64              // ahead of the job, in thousandths of a core times seconds
	Drain     int64              // of that work, per second
	Wait      dotterclock.Millis // until the job could start, at least
	Limit     dotterclock.Millis // the latest start at which the job would be of use
	Objective dotterclock.Millis
	Lane      Lane
}

// Lane identifies the queue in which a job would wait.
type Lane struct {
	Service string
	Fills   bool
	Tenant  string // whose cap is reached; empty: the workers are full
	Rank    int
}

// RetryIn returns how long the caller of a refused job has to wait until its job would be
// accepted, if no other job were.
func (d Decision) RetryIn() dotterclock.Millis {
	return d.Wait - d.Limit
}

// Decide decides on a submission at the time of day now. Shards are the live ones that have
// workers for the job; tenantCap is the cap of its tenant in force on this host.
func Decide(now dotterclock.Millis, j dotterjob.Job, q dotterqueues.Queue, tenantCap dotterroom.Room, shards []Shard) Decision {
	r, ok := newRequest(j, q, tenantCap)
	if !ok {
		return Decision{}
	}
	var best Decision
	for _, s := range shards {
		d := r.decideIn(now, s)
		if !d.Refused {
			return d
		}
		if !best.Refused || d.RetryIn() < best.RetryIn() {
			best = d
		}
	}
	return best
}

// request is what the decision needs to know of a job.
type request struct {
	service   string
	rank      int
	tenant    string
	tenantCap dotterroom.Room
	objective dotterclock.Millis
	path      dotterclock.Millis // the least time that the job takes
	kinds     map[bool]kind      // by whether the tasks fill
}

// kind describes the steps of a job that fill, or those that do not.
type kind struct {
	class    int  // highest size class of a step that can start at once
	first    bool // whether there is such a step
	followed bool // whether another of them depends on earlier steps
}

// newRequest returns false for jobs that are never refused for overload: long-running ones,
// those with due times, those that do not declare how long they take, and those of queues
// without an objective.
func newRequest(j dotterjob.Job, q dotterqueues.Queue, tenantCap dotterroom.Room) (request, bool) {
	path := j.CriticalPath()
	if j.Times != 0 || path <= 0 || q.Stretch <= 0 && q.Target <= 0 {
		return request{}, false
	}
	r := request{
		service: q.Service, rank: q.Rank, tenant: j.Tenant, tenantCap: tenantCap,
		objective: q.Objective(path), path: shorten(path), kinds: map[bool]kind{},
	}
	for _, s := range j.Steps {
		if s.LongRunning {
			return request{}, false
		}
		k := r.kinds[s.Fills]
		if len(s.After) > 0 {
			k.followed = true
		} else {
			k.first, k.class = true, max(k.class, SizeClass(s.Size))
		}
		r.kinds[s.Fills] = k
	}
	return r, true
}

// decideIn decides whether the shard could serve the job in time.
func (r request) decideIn(now dotterclock.Millis, s Shard) Decision {
	age := max(s.SeenAge, now-s.Outlook.At)
	d := Decision{Shard: s.Name, Age: age, Objective: r.objective}
	if s.Outlook.At <= 0 || age > MaxAge {
		return d
	}
	for _, l := range s.Outlook.Lanes {
		k, concerns := r.kindIn(l)
		if !concerns || !plausible(l) {
			continue
		}
		if refused := r.judge(d, l, k); refused.Refused && (!d.Refused || refused.RetryIn() > d.RetryIn()) {
			d = refused
		}
	}
	return d
}

// kindIn returns the kind of the job's steps that wait in the lane, or false if none does.
func (r request) kindIn(l dottervacancy.Lane) (kind, bool) {
	if l.Tenant == "" {
		k := r.kinds[l.Fills]
		return k, k.first && l.Service == r.service
	}
	if l.Tenant != r.tenant || l.Cap != r.tenantCap {
		return kind{}, false // of another tenant, or measured with another cap
	}
	var all kind
	for _, k := range r.kinds {
		all = kind{class: max(all.class, k.class), first: all.first || k.first, followed: all.followed || k.followed}
	}
	return all, all.first
}

// plausible reports whether the lane has values that a Meter may have published.
func plausible(l dottervacancy.Lane) bool {
	if l.Drain <= 0 {
		return false
	}
	for _, q := range l.Queued {
		if q.Work < 0 || q.Later < 0 || q.Slack < 0 || q.Left < 0 {
			return false
		}
	}
	return true
}

// judge returns d with a refusal if the job certainly cannot start in time in the lane.
// Jobs that are submitted later are left out. So are tasks of a higher size class, which may
// wait while smaller ones find room, those of a lower one and the job's priority, which go
// behind it unless they fill, and those that will be of no use much sooner than the job.
func (r request) judge(d Decision, l dottervacancy.Lane, k kind) Decision {
	onTime, all := 0.0, 0.0
	limit, limitOnTime := UsefulFactor*r.objective-r.path, r.objective-r.path
	for _, q := range l.Queued {
		sameRank := q.Rank == r.rank
		switch {
		case q.Rank > r.rank || q.Class > k.class:
			continue
		case sameRank && (!l.Fills && l.Tenant == "" && q.Class != k.class || q.Slack > r.objective):
			continue
		case !sameRank || q.Slack > 0:
			onTime += float64(q.Work)
		}
		if sameRank && float64(q.Left) < minLeftFraction*float64(limit) {
			continue
		}
		all += float64(q.Work)
		if k.followed {
			all += float64(q.Later)
		}
	}
	drain := drainMargin * float64(l.Drain)
	waitOnTime := toMillis(onTime/float64(l.Drain)) - d.Age
	wait := toMillis(all/drain) - d.Age
	ratio := minOnlyRatio
	if k.followed {
		ratio = minFirstRatio
	}
	if wait <= limit || float64(waitOnTime) <= ratio*float64(limitOnTime) {
		return d
	}
	d.Refused, d.Reason = true, Backlog
	d.Lane = Lane{Service: l.Service, Fills: l.Fills, Tenant: l.Tenant, Rank: r.rank}
	if l.Tenant != "" {
		d.Reason = TenantCap
	}
	d.Work, d.Drain, d.Wait, d.Limit = int64(all), l.Drain, wait, limit
	return d
}

// maxWait bounds computed waits, whatever an outlook holds.
const maxWait = 3600 * dotterclock.Second

func toMillis(seconds float64) dotterclock.Millis {
	return dotterclock.Millis(min(seconds*float64(dotterclock.Second), float64(maxWait)))
}

func shorten(path dotterclock.Millis) dotterclock.Millis {
	return dotterclock.Millis(minEstimateFraction * float64(path))
}
