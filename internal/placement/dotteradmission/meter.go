package dotteradmission

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

const (
	// minWait is how long tasks must have waited for their lane to count as backlogged. Tasks
	// that find room start within some ten milliseconds, and a commit takes as long.
	minWait = 500 * dotterclock.Millisecond
	// minMeasured is how long a backlog must have lasted before its drain is known. It is longer
	// than the run time of most tasks, since a burst after a calm time begins with full workers
	// and no ends.
	minMeasured = 3 * dotterclock.Second
	// maxMeasured is the time over which the drain is measured: a lane whose room changes with
	// the load of serving tasks is judged by its last seconds.
	maxMeasured = 5 * dotterclock.Second
	// firstInterval is the length of the first interval into which times left are sorted,
	// intervalRatio the ratio of the upper bounds of an interval and the one before. They bound
	// the size of an outlook: some twenty intervals cover half a minute.
	firstInterval = 500 * dotterclock.Millisecond
	intervalRatio = 1.25
	// maxGap is the longest time between two observations of one measurement. An owner observes
	// every 200 ms unless the store does not answer; nothing starts then, so that what is
	// done meanwhile says nothing about the time after it.
	maxGap = dotterclock.Second
	// maxAdoptedAge is the age up to which a new owner uses its predecessor's drains. A takeover
	// takes one to three seconds, during which nothing starts, and the new owner needs
	// minMeasured to measure its own.
	maxAdoptedAge = 8 * dotterclock.Second
	// minDrainShare is the share of its lane's drain, relative to its share of the backlog, that
	// filling tasks of one image must have to count as ahead of others. Tasks of an image that
	// interferes with serving tasks may find no worker while those of other images do.
	minDrainShare = 0.5
	// maxLanes and maxQueued bound the lanes of an outlook and the entries of all of them, of some
	// 30 bytes; those with the least work are left out, which leads to fewer refusals. Each
	// host reads the outlook every 0.4 s, and control traffic is to stay within 8 KB a
	// second for a host (docs/DEVELOPING.md).
	maxLanes  = 8
	maxQueued = 60
	// smallestClassMilliCores is the upper bound of the smallest size class, in thousandths of a
	// core. Tasks below it fit into the gaps that are left on a full worker.
	smallestClassMilliCores = 6000
)

// SizeClass returns the size class of a task: a task of a lower class fits wherever one of a
// higher class does.
func SizeClass(size dotterroom.Room) int {
	return bits.Len64(uint64(max(0, size.MilliCores) / smallestClassMilliCores))
}

// Work returns the declared work of count tasks, in thousandths of a core times seconds.
func Work(count int, size dotterroom.Room, estimate dotterclock.Millis) int64 {
	return int64(count) * size.MilliCores * int64(estimate) / int64(dotterclock.Second)
}

// Tasks identifies the tasks of a step.
type Tasks struct {
	Service string
	Fills   bool
	Tenant  string // empty for none
	Image   string
}

// Waiting describes the waiting tasks of a step.
type Waiting struct {
	Tasks
	Rank   int
	Class  int
	Slack  dotterclock.Millis // time left until the objective; 0 or less: it cannot be met any more
	Left   dotterclock.Millis // time left in which it is of use to start the tasks; 0 or less: their job can no longer be of use
	Waited dotterclock.Millis
	Work   int64 // 0: the step is not ready
	Later  int64 // of a step that depends on steps that are not done
}

// laneKey identifies a lane; for that of a tenant only tenant is set.
type laneKey struct {
	service string
	fills   bool
	tenant  string
}

// lanes returns the lanes in which the tasks wait: that of their service and, if they have
// one, that of their tenant.
func (t Tasks) lanes() []laneKey {
	keys := []laneKey{{service: t.Service, fills: t.Fills}}
	if t.Tenant != "" {
		keys = append(keys, laneKey{tenant: t.Tenant})
	}
	return keys
}

// Meter measures the drain of each lane while it has a backlog. It is not safe for concurrent
// use.
type Meter struct {
	lanes map[laneKey]*laneMeter
	other map[string]int64 // work done by tasks that do not fill, by service

	adopted      map[laneKey]int64 // drains that the previous owner has measured
	adoptedUntil dotterclock.Millis
}

// laneMeter measures the drain of a lane.
type laneMeter struct {
	done    map[string]int64 // work done since the backlog began, by image
	samples []sample         // of the last maxMeasured
}

// sample is what was done up to an instant.
type sample struct {
	at       dotterclock.Millis
	done     map[string]int64
	progress int64 // done by runs that have not ended
	other    int64 // done by tasks that do not fill, if the lane is of filling ones
}

// NewMeter returns a meter that has measured nothing.
func NewMeter() *Meter {
	return &Meter{lanes: map[laneKey]*laneMeter{}, other: map[string]int64{}}
}

// RecordDone records that work of the tasks was done.
func (m *Meter) RecordDone(t Tasks, work int64) {
	if !t.Fills {
		m.other[t.Service] += work
	}
	for _, key := range t.lanes() {
		if l, ok := m.lanes[key]; ok {
			l.done[t.Image] += work
		}
	}
}

// Adopt takes the drains from the outlook that the previous owner published last, until the meter
// has measured them.
func (m *Meter) Adopt(now, wall dotterclock.Millis, o dottervacancy.Outlook) {
	m.adopted, m.adoptedUntil = map[laneKey]int64{}, now+maxAdoptedAge-max(0, wall-o.At)
	for _, l := range o.Lanes {
		if plausible(l) {
			m.adopted[laneKey{service: l.Service, fills: l.Fills, tenant: l.Tenant}] = l.Drain
		}
	}
}

// Observe returns the outlook of a shard with the waiting tasks. Progress returns the work
// that runs of a service and kind, or of a tenant, have done so far; capped has the cap of each
// tenant that is at it. It must be called every few hundred milliseconds; now is on the owner's
// clock, wall the time of day.
func (m *Meter) Observe(now, wall dotterclock.Millis, waiting []Waiting, progress map[Tasks]int64, capped map[string]dotterroom.Room) dottervacancy.Outlook {
	byLane := map[laneKey][]Waiting{}
	backlogged := map[laneKey]bool{}
	for _, w := range waiting {
		for _, key := range w.lanes() {
			if _, atCap := capped[key.tenant]; key.tenant != "" && !atCap {
				continue
			}
			byLane[key] = append(byLane[key], w)
			backlogged[key] = backlogged[key] || w.Waited >= minWait
		}
	}
	done := map[laneKey]int64{}
	for t, work := range progress {
		for _, key := range t.lanes() {
			done[key] += work
		}
	}
	maps.DeleteFunc(m.lanes, func(key laneKey, _ *laneMeter) bool { return !backlogged[key] })
	outlook := dottervacancy.Outlook{At: wall}
	for key := range backlogged {
		if !backlogged[key] {
			continue
		}
		l, ok := m.lanes[key]
		if !ok {
			l = &laneMeter{done: map[string]int64{}}
			m.lanes[key] = l
		}
		s := sample{at: now, done: maps.Clone(l.done), progress: done[key]}
		if key.fills {
			s.other = m.other[key.service]
		}
		l.observe(s)
		drain, known := l.drain()
		if !known && now < m.adoptedUntil {
			drain = m.adopted[key]
		}
		if drain == 0 {
			continue
		}
		queued := byLane[key]
		if key.fills && known {
			queued = l.withoutStuckImages(queued)
		}
		outlook.Lanes = append(outlook.Lanes, dottervacancy.Lane{
			Service: key.service, Fills: key.fills, Tenant: key.tenant, Cap: capped[key.tenant], Drain: drain, Queued: group(queued),
		})
	}
	slices.SortFunc(outlook.Lanes, func(a, b dottervacancy.Lane) int {
		return cmp.Or(cmp.Compare(workOf(b), workOf(a)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tenant, b.Tenant))
	})
	outlook.Lanes = outlook.Lanes[:min(maxLanes, len(outlook.Lanes))]
	return withoutSmallest(outlook)
}

// withoutSmallest returns the outlook with its maxQueued largest entries.
func withoutSmallest(o dottervacancy.Outlook) dottervacancy.Outlook {
	var sizes []int64
	for _, l := range o.Lanes {
		for _, q := range l.Queued {
			sizes = append(sizes, q.Work+q.Later)
		}
	}
	if len(sizes) <= maxQueued {
		return o
	}
	slices.Sort(sizes)
	smallest := sizes[len(sizes)-maxQueued]
	room := maxQueued
	for i, l := range o.Lanes {
		var kept []dottervacancy.Queued
		for _, q := range l.Queued {
			if q.Work+q.Later >= smallest && room > 0 {
				kept = append(kept, q)
				room--
			}
		}
		o.Lanes[i].Queued = kept
	}
	return o
}

func (l *laneMeter) observe(s sample) {
	if n := len(l.samples); n > 0 && s.at-l.samples[n-1].at > maxGap {
		l.samples = nil
	}
	l.samples = append(l.samples, s)
	for len(l.samples) > 2 && s.at-l.samples[1].at >= maxMeasured {
		l.samples = l.samples[1:]
	}
}

// drain returns the work that was done per second. It returns false if the backlog has not
// lasted long enough or nothing was done, as when no worker can be reached. It is the highest
// of several measures, because a low one leads to refusals: with and without what runs have
// done that have not ended, since a run that is stopped may lose it, and over all of the time
// or its second half. To the drain of filling tasks it adds what other tasks do: when these
// end, the filling ones get their processor time.
func (l *laneMeter) drain() (perSecond int64, known bool) {
	last := l.samples[len(l.samples)-1]
	if last.at-l.samples[0].at < minMeasured {
		return 0, false
	}
	for _, s := range []sample{l.samples[0], l.samples[len(l.samples)/2]} {
		if elapsed := int64(last.at - s.at); elapsed > 0 {
			ended := sum(last.done) - sum(s.done)
			work := max(ended, ended+last.progress-s.progress)
			perSecond = max(perSecond, (work+last.other-s.other)*int64(dotterclock.Second)/elapsed)
		}
	}
	return perSecond, perSecond > 0
}

// withoutStuckImages returns the waiting tasks without those of images of which much less was
// done than of others.
func (l *laneMeter) withoutStuckImages(waiting []Waiting) []Waiting {
	first, last := l.samples[0], l.samples[len(l.samples)-1]
	all := sum(last.done) - sum(first.done)
	backlog, byImage := int64(0), map[string]int64{}
	for _, w := range waiting {
		backlog += w.Work
		byImage[w.Image] += w.Work
	}
	return slices.DeleteFunc(slices.Clone(waiting), func(w Waiting) bool {
		done := last.done[w.Image] - first.done[w.Image]
		return float64(done)*float64(backlog) < minDrainShare*float64(byImage[w.Image])*float64(all)
	})
}

// group adds up waiting work of the same priority, size and urgency.
func group(waiting []Waiting) []dottervacancy.Queued {
	type work struct{ now, later int64 }
	sums := map[dottervacancy.Queued]work{}
	for _, w := range waiting {
		if w.Left <= 0 || w.Work <= 0 && w.Later <= 0 {
			continue // new jobs of its priority go before one that has expired, and nothing shows that it is not stuck
		}
		q := dottervacancy.Queued{Rank: w.Rank, Class: w.Class, Slack: upperBound(w.Slack), Left: lowerBound(w.Left)}
		s := sums[q]
		sums[q] = work{s.now + w.Work, s.later + w.Later}
	}
	var queued []dottervacancy.Queued
	for q, s := range sums {
		q.Work, q.Later = s.now, s.later
		queued = append(queued, q)
	}
	slices.SortFunc(queued, func(a, b dottervacancy.Queued) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Left, b.Left))
	})
	return queued
}

// upperBound returns the upper bound of the interval that contains the duration, 0 for none left.
func upperBound(duration dotterclock.Millis) dotterclock.Millis {
	if duration <= 0 {
		return 0
	}
	bound := firstInterval
	for bound < duration {
		bound = nextBound(bound)
	}
	return bound
}

// lowerBound returns the lower bound of the interval that contains the duration.
func lowerBound(duration dotterclock.Millis) dotterclock.Millis {
	if duration < firstInterval {
		return 0
	}
	bound := firstInterval
	for next := nextBound(bound); next <= duration; next = nextBound(next) {
		bound = next
	}
	return bound
}

func nextBound(bound dotterclock.Millis) dotterclock.Millis {
	return dotterclock.Millis(intervalRatio * float64(bound))
}

func workOf(l dottervacancy.Lane) int64 {
	work := int64(0)
	for _, q := range l.Queued {
		work += q.Work
	}
	return work
}

func sum(byImage map[string]int64) int64 {
	total := int64(0)
	for _, work := range byImage {
		total += work
	}
	return total
}
