package dotterlookahead_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

const (
	planInterval = 10 * dotterclock.Millisecond // as the jobs' board plans waiting steps
	capacity     = 64_000                       // thousandths of a core of a worker
)

var limits = dotterlookahead.Limits{MinWait: 150, MaxHold: 2000, MaxIdle: 250, FragmentedOnly: true}

// arrival is a step of like tasks in a load.
type arrival struct {
	at       dotterclock.Millis
	cores    int64 // thousandths, of each task
	count    int
	run      dotterclock.Millis // of each task
	declared dotterclock.Millis
	spread   float64 // standard deviation of the logarithm of run over declared
	large    bool
}

// late returns the run time that is exceeded by one standard deviation or less.
func (a *arrival) late() dotterclock.Millis {
	return dotterclock.Millis(float64(a.declared) * math.Exp(a.spread))
}

// load is a sequence of steps for a pool of equal workers.
type load struct {
	workers  int
	arrivals []arrival
}

// running is a task on a worker.
type running struct {
	arrival    *arrival
	began, end dotterclock.Millis
}

// pool plays a load. Tasks are placed large ones first, then in order of arrival, each on
// the allowed worker with the least free room.
type pool struct {
	now     dotterclock.Millis
	book    *dotterlookahead.Book // nil: without look-ahead
	runs    [][]running           // by worker
	waiting []*arrival
	left    map[*arrival]int // tasks that wait
	large   []float64        // waits, in ms
	small   []float64
	done    dotterclock.Millis // when the last task ended
	longest dotterclock.Millis // longest time of a reservation
	events  map[dotterlookahead.Outcome]int
}

// play runs the load to its end.
func play(l load, ahead bool) *pool {
	p := &pool{runs: make([][]running, l.workers), left: map[*arrival]int{}, events: map[dotterlookahead.Outcome]int{}}
	if ahead {
		p.book = dotterlookahead.NewBook(limits)
	}
	next := 0
	for p.now = 1000; next < len(l.arrivals) || len(p.waiting) > 0; p.now += planInterval {
		for ; next < len(l.arrivals) && l.arrivals[next].at <= p.now; next++ {
			a := &l.arrivals[next]
			p.waiting, p.left[a] = append(p.waiting, a), a.count
		}
		slices.SortStableFunc(p.waiting, func(a, b *arrival) int { return int(b.cores - a.cores) })
		for w := range p.runs {
			p.runs[w] = slices.DeleteFunc(p.runs[w], func(r running) bool { return r.end <= p.now })
		}
		p.plan()
	}
	return p
}

func id(a *arrival) dotterlookahead.ID {
	return dotterlookahead.ID(fmt.Sprintf("%p", a))
}

// plan places what the book allows and makes reservations.
func (p *pool) plan() {
	workers := make([]dotterlookahead.Worker, len(p.runs))
	for w := range workers {
		workers[w] = dotterlookahead.Worker{Name: fmt.Sprint(w), Free: p.free(w), Open: true, Reservable: true, Holders: func() []dotterlookahead.Holder { return p.holders(w) }}
	}
	waiting := map[dotterlookahead.ID]dotterlookahead.Waiting{}
	for i, a := range p.waiting {
		waiting[id(a)] = dotterlookahead.Waiting{Count: p.left[a], Order: i}
	}
	book := p.book
	if book == nil {
		book = dotterlookahead.NewBook(limits)
	}
	plan := book.Begin(p.now, workers, func(id dotterlookahead.ID) dotterlookahead.Waiting { return waiting[id] })
	for i, a := range p.waiting {
		p.place(plan, i, a)
		if p.left[a] > 0 && p.book != nil {
			plan.Reserve(dotterlookahead.Request{
				ID: id(a), Size: dotterroom.Room{MilliCores: a.cores}, Count: p.left[a], Order: i, Since: a.at, StartBy: dotterlookahead.Never, Max: max(1, len(p.runs)/16),
			})
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(a *arrival) bool { return p.left[a] == 0 })
	for _, e := range book.TakeEvents() {
		p.events[e.Outcome]++
		if e.Outcome != dotterlookahead.Made {
			p.longest = max(p.longest, p.now-e.Reservation.MadeAt)
		}
	}
}

// place starts tasks of the step as long as a worker is allowed.
func (p *pool) place(plan *dotterlookahead.Plan, order int, a *arrival) {
	for p.left[a] > 0 {
		best := -1
		c := dotterlookahead.Candidate{ID: id(a), Size: dotterroom.Room{MilliCores: a.cores}, Order: order, Latest: p.now + a.late()}
		for w := range p.runs {
			if plan.Allows(w, c) && (best < 0 || plan.Free(w).MilliCores < plan.Free(best).MilliCores) {
				best = w
			}
		}
		if best < 0 {
			return
		}
		p.left[a]--
		plan.Place(best, c.ID, c.Size, p.left[a])
		p.runs[best] = append(p.runs[best], running{arrival: a, began: p.now, end: p.now + a.run})
		p.done = max(p.done, p.now+a.run)
		if a.large {
			p.large = append(p.large, float64(p.now-a.at))
		} else {
			p.small = append(p.small, float64(p.now-a.at))
		}
	}
}

func (p *pool) free(w int) dotterroom.Room {
	free := dotterroom.Room{MilliCores: capacity}
	for _, r := range p.runs[w] {
		free.MilliCores -= r.arrival.cores
	}
	return free
}

// holders returns the tasks on the worker with the ends predicted from declared run times. A task
// that has outrun its prediction is expected to take another quarter of it.
func (p *pool) holders(w int) []dotterlookahead.Holder {
	var hs []dotterlookahead.Holder
	for _, r := range p.runs[w] {
		end := max(r.began+r.arrival.declared, p.now+r.arrival.declared/4)
		hs = append(hs, dotterlookahead.Holder{Size: dotterroom.Room{MilliCores: r.arrival.cores}, End: end, Latest: end + r.arrival.late() - r.arrival.declared})
	}
	return hs
}

// percentile returns the 95th percentile of the waits in ms.
func percentile(waits []float64) float64 {
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}

func mean(waits []float64) float64 {
	sum := 0.0
	for _, w := range waits {
		sum += w
	}
	return sum / float64(len(waits))
}

// mix describes random arrivals; cores are in thousandths.
type mix struct {
	workers              int
	length               dotterclock.Millis // of the load
	smallCores           []int64
	smallLoad, largeLoad float64 // fractions of all processor time
	largeCores           int64
	largeCount           int
	largeRun             dotterclock.Millis
	burst                dotterclock.Millis // large steps come together with this period; 0: at any time
	wrong                float64            // declared run times are off by up to this factor, alike for a step
}

// arrivals draws the steps of the mix.
func (m mix) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var as []arrival
	spread := math.Sqrt(0.05) // as among the tasks of one step
	if m.wrong > 1 {
		spread = math.Log(m.wrong) / 2
	}
	declare := func(run dotterclock.Millis) dotterclock.Millis {
		return dotterclock.Millis(float64(run) * math.Pow(max(1, m.wrong), 2*random.Float64()-1))
	}
	all := float64(m.workers*capacity) * float64(m.length)
	for used := 0.0; used < m.smallLoad*all; {
		run := dotterclock.Millis(500 + random.Int64N(501))
		cores := m.smallCores[random.IntN(len(m.smallCores))]
		a := arrival{at: dotterclock.Millis(1000 + random.Int64N(int64(m.length))), cores: cores, count: 10, run: run, declared: declare(run), spread: spread}
		used += float64(cores) * float64(run) * float64(a.count)
		as = append(as, a)
	}
	for used := 0.0; used < m.largeLoad*all; {
		a := arrival{at: dotterclock.Millis(1000 + random.Int64N(int64(m.length))), cores: m.largeCores, count: m.largeCount, run: m.largeRun, declared: declare(m.largeRun), spread: spread, large: true}
		if m.burst > 0 {
			a.at = 1000 + dotterclock.Millis(random.Int64N(int64(m.length/m.burst)))*m.burst
		}
		used += float64(a.cores) * float64(a.run) * float64(a.count)
		as = append(as, a)
	}
	slices.SortStableFunc(as, func(a, b arrival) int { return int(a.at - b.at) })
	return as
}

// play plays the mix for eight seeds and returns the waits of all.
func (m mix) play(ahead bool) (sum pool) {
	sum.events = map[dotterlookahead.Outcome]int{}
	for seed := range uint64(8) {
		p := play(load{workers: m.workers, arrivals: m.arrivals(seed)}, ahead)
		sum.large, sum.small = append(sum.large, p.large...), append(sum.small, p.small...)
		sum.done += p.done
		sum.longest = max(sum.longest, p.longest)
		for outcome, n := range p.events {
			sum.events[outcome] += n
		}
	}
	return sum
}

// gaps is a full service whose small tasks fill each gap that a large one needs.
func gaps(largeLoad float64, largeCores int64) mix {
	return mix{
		workers: 40, length: 20_000, smallCores: []int64{4000, 6000, 8000}, smallLoad: 0.85,
		largeLoad: largeLoad, largeCores: largeCores, largeCount: 2, largeRun: 1000,
	}
}

// checkWaits plays the mix with and without look-ahead. The 95th percentiles of the waits with it
// must be at most the given multiples of those without.
func checkWaits(t *testing.T, m mix, large, small float64) {
	without, with := m.play(false), m.play(true)
	require.Len(t, with.large, len(without.large))
	require.Len(t, with.small, len(without.small))
	t.Logf("95th percentile in ms without and with: large %.0f %.0f, small %.0f %.0f; %v; longest %d ms",
		percentile(without.large), percentile(with.large), percentile(without.small), percentile(with.small), with.events, with.longest)
	assert.LessOrEqual(t, percentile(with.large), large*percentile(without.large), "large tasks")
	assert.LessOrEqual(t, percentile(with.small), small*percentile(without.small), "small tasks")
	assert.LessOrEqual(t, with.longest, limits.MaxHold+planInterval, "a wrong estimate costs more than the time of a reservation")
	ended := with.events[dotterlookahead.Used] + with.events[dotterlookahead.Released] + with.events[dotterlookahead.Expired]
	assert.Equal(t, with.events[dotterlookahead.Made], ended, "a reservation was left")
}

// TestLargeTasksWaitLess guards against large tasks that wait until enough small ones happen
// to end at the same time on one worker, and against small ones that pay for it.
func TestLargeTasksWaitLess(t *testing.T) {
	wrong := gaps(0.05, 60_000)
	wrong.wrong = 3
	tests := map[string]struct {
		mix          mix
		large, small float64 // longest 95th percentile of the waits, as a multiple of that without look-ahead
	}{
		"few large tasks that need nearly a worker":        {gaps(0.03, 60_000), 0.5, 1.1},
		"large tasks that need nearly a worker":            {gaps(0.05, 60_000), 0.5, 1.1},
		"the same with estimates off by up to three times": {wrong, 0.5, 1.1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { checkWaits(t, tc.mix, tc.large, tc.small) })
	}
}

// TestTasksOfThreeQuartersWaitLess checks the same for tasks that fit beside a few small ones.
func TestTasksOfThreeQuartersWaitLess(t *testing.T) {
	checkWaits(t, gaps(0.05, 48_000), 0.5, 1.1)
}

// TestWideStepsGoInWaves guards against a burst of wide steps that empties the service for its
// first wave.
func TestWideStepsGoInWaves(t *testing.T) {
	wide := gaps(0.05, 60_000)
	wide.largeCount, wide.burst = 20, 5000
	checkWaits(t, wide, 1, 1.1)
}

// TestNoLossWhereLookAheadCannotHelp guards against withholding room where no task gains by it.
func TestNoLossWhereLookAheadCannotHelp(t *testing.T) {
	equal := mix{workers: 40, length: 20_000, smallCores: []int64{30_000}, smallLoad: 0.8, largeLoad: 0.1, largeCores: 30_000, largeCount: 10, largeRun: 1000}
	halves := mix{workers: 40, length: 20_000, smallCores: []int64{6000}, smallLoad: 0.9}
	whole := mix{workers: 40, length: 20_000, largeLoad: 0.9, largeCores: 60_000, largeCount: 10, largeRun: 1000}
	light := gaps(0.05, 48_000)
	light.smallLoad = 0.3
	tests := map[string]mix{"tasks of one size": equal, "small tasks alone": halves, "large tasks alone": whole, "light load": light}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			without, with := m.play(false), m.play(true)
			waits := func(p pool) float64 { return mean(append(slices.Clone(p.large), p.small...)) }
			assert.LessOrEqual(t, waits(with), 1.02*waits(without), "mean wait")
			assert.LessOrEqual(t, float64(with.done), 1.02*float64(without.done), "time to the end of the load")
		})
	}
}
