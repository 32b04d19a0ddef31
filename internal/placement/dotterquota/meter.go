package dotterquota

import (
	"cmp"
	"slices"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// arrivalWindow is how late an arrival may be added and still change the arrivals after it:
// several times what the delivery of an accepted job takes and what hosts' clocks differ by.
const arrivalWindow = 10 * dotterclock.Second

// Arrival is a job of a tenant that was accepted.
type Arrival struct {
	At     dotterclock.Millis // on the clock of the host that accepted it
	ID     string
	Beyond bool // beyond the tenant's rate; set by Meter.Settle

	left float64 // tokens after it
}

// Meter tells which jobs of one tenant are beyond its rate, by a token bucket over their
// acceptance times that holds the tokens of one second and at first is full. The result depends on
// the set of arrivals and not on the order in which they are added, so a new owner that adds the
// stored jobs gets the result of its predecessor.
type Meter struct {
	arrivals []*Arrival // by time; without those older than arrivalWindow
	added    []*Arrival // since the last Settle
	before   Arrival    // the last one that was dropped from arrivals
	settled  int        // number of leading arrivals whose result is up to date
	rate     float64
}

// Add adds a job.
func (m *Meter) Add(at dotterclock.Millis, id string) *Arrival {
	a := &Arrival{At: at, ID: id}
	m.added = append(m.added, a)
	return a
}

// Remove removes a job that has left the shard. What it had of the rate is left to later jobs.
func (m *Meter) Remove(a *Arrival) {
	if i := slices.Index(m.added, a); i >= 0 {
		m.added = slices.Delete(m.added, i, i+1)
		return
	}
	i := sort.Search(len(m.arrivals), func(i int) bool { return compareArrivals(m.arrivals[i], a) >= 0 })
	if i < len(m.arrivals) && m.arrivals[i] == a {
		m.arrivals = slices.Delete(m.arrivals, i, i+1)
		m.settled = min(m.settled, i)
	}
}

// Settle updates the result of all arrivals to the given rate in jobs per second; wall is the
// time of day.
func (m *Meter) Settle(wall dotterclock.Millis, rate float64) {
	if rate != m.rate {
		m.rate, m.settled = rate, 0
	}
	m.merge()
	previous := &m.before
	if m.settled > 0 {
		previous = m.arrivals[m.settled-1]
	}
	for _, a := range m.arrivals[m.settled:] {
		a.left = m.tokens(previous, a.At)
		a.Beyond = a.left < 1
		if !a.Beyond {
			a.left--
		}
		previous = a
	}
	old := sort.Search(len(m.arrivals), func(i int) bool { return m.arrivals[i].At >= wall-arrivalWindow })
	if old > 0 {
		m.before = *m.arrivals[old-1]
		m.arrivals = slices.Delete(m.arrivals, 0, old)
	}
	m.settled = len(m.arrivals)
}

// merge moves the added arrivals to their places.
func (m *Meter) merge() {
	if len(m.added) == 0 {
		return
	}
	slices.SortFunc(m.added, compareArrivals)
	first := sort.Search(len(m.arrivals), func(i int) bool { return compareArrivals(m.arrivals[i], m.added[0]) > 0 })
	m.settled = min(m.settled, first)
	m.arrivals = append(m.arrivals, m.added...)
	slices.SortFunc(m.arrivals[first:], compareArrivals)
	m.added = nil
}

// tokens returns what the bucket holds at the given time after the previous arrival.
func (m *Meter) tokens(previous *Arrival, at dotterclock.Millis) float64 {
	depth := max(1, m.rate)
	if m.rate <= 0 {
		return 0
	}
	if previous.ID == "" { // nothing arrived before
		return depth
	}
	return min(depth, previous.left+m.rate*max(0, (at-previous.At).Seconds()))
}

func compareArrivals(a, b *Arrival) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
}
