package dotterlookahead_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

const start = 10_000 * dotterclock.Millisecond

func cores(n int64) dotterroom.Room {
	return dotterroom.Room{MilliCores: 1000 * n}
}

// busyWorker returns a worker of 64 cores with 10 free, whose other tasks of 27 cores end after 300 and
// 500 ms.
func busyWorker(name string) dotterlookahead.Worker {
	return dotterlookahead.Worker{
		Name: name, Free: cores(10), Open: true, Reservable: true,
		Holders: func() []dotterlookahead.Holder {
			return []dotterlookahead.Holder{
				{Size: cores(27), End: start + 500, Latest: start + 700},
				{Size: cores(27), End: start + 300, Latest: start + 400},
			}
		},
	}
}

// one describes an ID of which one task waits at position 5.
func one(dotterlookahead.ID) dotterlookahead.Waiting {
	return dotterlookahead.Waiting{Count: 1, Order: 5}
}

func request(id dotterlookahead.ID, size dotterroom.Room) dotterlookahead.Request {
	return dotterlookahead.Request{ID: id, Size: size, Count: 1, Order: 5, Since: start - 1000, StartBy: dotterlookahead.Never, Max: 4}
}

// TestReservationHoldsBackLaterTasks guards against tasks that delay the holder of a reservation,
// and against holding back those that do not or that take precedence.
func TestReservationHoldsBackLaterTasks(t *testing.T) {
	tests := map[string]struct {
		candidate dotterlookahead.Candidate
		allowed   bool
	}{
		"ends after the room is needed":  {dotterlookahead.Candidate{ID: "other", Size: cores(6), Order: 6, Latest: start + 501}, false},
		"ends in time":                   {dotterlookahead.Candidate{ID: "other", Size: cores(6), Order: 6, Latest: start + 500}, true},
		"fits beside the holder":         {dotterlookahead.Candidate{ID: "other", Size: cores(4), Order: 6, Latest: start + 9000}, true},
		"takes precedence":               {dotterlookahead.Candidate{ID: "other", Size: cores(6), Order: 4, Latest: start + 9000}, true},
		"is exempt":                      {dotterlookahead.Candidate{ID: "other", Size: cores(6), Order: 6, Latest: start + 9000, Exempt: true}, true},
		"is the holder":                  {dotterlookahead.Candidate{ID: "large", Size: cores(6), Order: 5, Latest: start + 9000}, true},
		"needs more room than is free":   {dotterlookahead.Candidate{ID: "other", Size: cores(11), Order: 4, Latest: start + 100}, false},
		"the same for the holder itself": {dotterlookahead.Candidate{ID: "large", Size: cores(60), Order: 5, Latest: start + 9000}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			book := dotterlookahead.NewBook(limits)
			p := book.Begin(start, []dotterlookahead.Worker{busyWorker("a")}, one)
			require.Equal(t, 1, p.Reserve(request("large", cores(60))))
			assert.Equal(t, tc.allowed, p.Allows(0, tc.candidate))
			p = book.Begin(start, []dotterlookahead.Worker{busyWorker("a")}, one)
			assert.Equal(t, tc.allowed, p.Allows(0, tc.candidate), "in the next plan")
		})
	}
}

// TestClaimedRoomIsWithheldFromAll guards against tasks, urgent ones too, that take the room which is being
// freed for another.
func TestClaimedRoomIsWithheldFromAll(t *testing.T) {
	book := dotterlookahead.NewBook(limits)
	p := book.Begin(start, []dotterlookahead.Worker{busyWorker("a")}, one)
	p.Claim(0, "urgent", cores(8), start+2000)
	for _, tc := range []struct {
		at      dotterclock.Millis
		allowed bool
	}{{start, false}, {start + 1999, false}, {start + 2000, true}} {
		p = book.Begin(tc.at, []dotterlookahead.Worker{busyWorker("a")}, one)
		assert.Equal(t, tc.allowed, p.Allows(0, dotterlookahead.Candidate{ID: "other", Size: cores(6), Exempt: true}))
	}
}

// TestReservationEnds guards against room that stays withheld although nobody can use it.
func TestReservationEnds(t *testing.T) {
	tests := map[string]struct {
		after  dotterclock.Millis
		change func(w *dotterlookahead.Worker)
		count  int // tasks of the holder that wait
		want   dotterlookahead.Outcome
		again  bool // whether it may get another reservation at once
	}{
		"the holder waits no more":      {after: 10, count: 0, want: dotterlookahead.Released, again: true},
		"the worker is closed":          {after: 10, count: 1, change: func(w *dotterlookahead.Worker) { w.Open = false }, want: dotterlookahead.Released, again: true},
		"the worker is not trusted":     {after: 10, count: 1, change: func(w *dotterlookahead.Worker) { w.Reservable = false }, want: dotterlookahead.Released, again: true},
		"the worker has gone":           {after: 10, count: 1, change: func(w *dotterlookahead.Worker) { w.Name = "b" }, want: dotterlookahead.Released, again: true},
		"the worker has shrunk":         {after: 10, count: 1, change: func(w *dotterlookahead.Worker) { w.Free = cores(0) }, want: dotterlookahead.Released, again: true},
		"the tasks there outrun theirs": {after: 950, count: 1, want: dotterlookahead.Expired},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			book := dotterlookahead.NewBook(limits)
			p := book.Begin(start, []dotterlookahead.Worker{busyWorker("a")}, one)
			require.Equal(t, 1, p.Reserve(request("large", cores(60))))
			book.TakeEvents()
			w := busyWorker("a")
			if tc.change != nil {
				tc.change(&w)
			}
			p = book.Begin(start+tc.after, []dotterlookahead.Worker{w}, func(dotterlookahead.ID) dotterlookahead.Waiting {
				return dotterlookahead.Waiting{Count: tc.count}
			})
			events := book.TakeEvents()
			require.Len(t, events, 1)
			assert.Equal(t, tc.want, events[0].Outcome)
			assert.True(t, book.Empty())
			assert.True(t, p.Allows(0, dotterlookahead.Candidate{ID: "other", Latest: start + 9000, Order: 9}))
			p = book.Begin(start+tc.after, []dotterlookahead.Worker{busyWorker("a")}, one)
			again := p.Reserve(request("large", cores(60)))
			assert.Equal(t, tc.again, again == 1, "another reservation at once")
		})
	}
}

// TestUnusedRoomIsReleased guards against room that is free but stays withheld, since its holder
// is held back by something else.
func TestUnusedRoomIsReleased(t *testing.T) {
	book := dotterlookahead.NewBook(limits)
	p := book.Begin(start, []dotterlookahead.Worker{busyWorker("a")}, one)
	require.Equal(t, 1, p.Reserve(request("large", cores(60))))
	idle := busyWorker("a")
	idle.Free = cores(64)
	for now := start + 100; !book.Empty(); now += 10 {
		require.LessOrEqual(t, now, start+100+limits.MaxIdle)
		book.Begin(now, []dotterlookahead.Worker{idle}, one)
	}
	events := book.TakeEvents()
	assert.Equal(t, dotterlookahead.Released, events[len(events)-1].Outcome)
}

// TestNoReservationIsMade guards against withholding room without need or use.
func TestNoReservationIsMade(t *testing.T) {
	late, young, full := request("large", cores(60)), request("large", cores(60)), request("large", cores(60))
	late.StartBy, young.Since, full.Max = start+499, start-limits.MinWait+1, 0
	excluded := request("large", cores(60))
	excluded.Allowed = func(int) bool { return false }
	tests := map[string]dotterlookahead.Request{
		"one end frees the room":         request("large", cores(27)),
		"the room is free":               request("large", cores(10)),
		"larger than the worker":         request("large", cores(65)),
		"of no use when it could start":  late,
		"waits for a short time":         young,
		"too many reservations":          full,
		"something else holds it back":   excluded,
		"room does not come free before": request("large", dotterroom.Room{MilliCores: 1000, Accelerators: 1}),
	}
	for name, q := range tests {
		t.Run(name, func(t *testing.T) {
			book := dotterlookahead.NewBook(limits)
			p := book.Begin(start, []dotterlookahead.Worker{busyWorker("a")}, one)
			assert.Zero(t, p.Reserve(q))
			assert.True(t, book.Empty())
			assert.Empty(t, book.TakeEvents())
		})
	}
}

// TestStartElsewhereReleasesReservation guards against reservations of a step beyond the number of
// its tasks that wait.
func TestStartElsewhereReleasesReservation(t *testing.T) {
	workers := []dotterlookahead.Worker{busyWorker("a"), busyWorker("b"), busyWorker("c")}
	workers[2].Free = cores(64)
	book := dotterlookahead.NewBook(limits)
	two := func(dotterlookahead.ID) dotterlookahead.Waiting { return dotterlookahead.Waiting{Count: 2, Order: 5} }
	p := book.Begin(start, workers[:2], two)
	q := request("large", cores(60))
	q.Count = 2
	require.Equal(t, 2, p.Reserve(q))
	p = book.Begin(start, workers, two)
	p.Place(2, "large", cores(60), 1)
	assert.Equal(t, 1, book.Reserved())
	workers[0].Free = cores(64)
	p = book.Begin(start+100, workers[:1], one)
	require.True(t, p.HasReservation(0, "large"))
	p.Place(0, "large", cores(60), 0)
	assert.True(t, book.Empty())
	counts := map[dotterlookahead.Outcome]int{}
	for _, e := range book.TakeEvents() {
		counts[e.Outcome]++
	}
	assert.Equal(t, map[dotterlookahead.Outcome]int{dotterlookahead.Made: 2, dotterlookahead.Released: 1, dotterlookahead.Used: 1}, counts)
}

// BenchmarkPlan makes a plan for 600 waiting tasks in 60 steps of 12 sizes on 890 full workers with 12 tasks
// each: the first, which makes all reservations; the next, which renews them; and one in which no worker
// will have room. The target is 5 ms.
func BenchmarkPlan(b *testing.B) {
	const workers, steps, sizes, holders = 890, 60, 12, 12
	var pool []dotterlookahead.Worker
	for i := range workers {
		var hs []dotterlookahead.Holder
		for k := range holders {
			end := start + dotterclock.Millis((i*7+k*83)%1000)
			hs = append(hs, dotterlookahead.Holder{Size: cores(5), End: end, Latest: end + 200})
		}
		pool = append(pool, dotterlookahead.Worker{
			Name: fmt.Sprintf("w%03d", i), Free: cores(int64(i % 5)), Open: true, Reservable: true,
			Holders: func() []dotterlookahead.Holder { return append([]dotterlookahead.Holder(nil), hs...) },
		})
	}
	waiting := func(dotterlookahead.ID) dotterlookahead.Waiting {
		return dotterlookahead.Waiting{Count: 10, Order: 1}
	}
	plan := func(book *dotterlookahead.Book, largest int64) {
		p := book.Begin(start, pool, waiting)
		blocked := map[dotterroom.Room]bool{}
		for s := range steps {
			size := cores(largest - 5*int64(s%sizes))
			id := dotterlookahead.ID(fmt.Sprint(s))
			if !blocked[size] {
				c := dotterlookahead.Candidate{ID: id, Size: size, Order: s, Latest: start + 1000}
				for w := range pool {
					if p.Allows(w, c) {
						b.Fatal("the workers are not full")
					}
				}
				blocked[size] = true
			}
			p.Reserve(dotterlookahead.Request{ID: id, Size: size, Count: 10, Order: s, Since: start - 1000, StartBy: dotterlookahead.Never, Max: workers / 16})
		}
	}
	b.Run("first", func(b *testing.B) {
		for range b.N {
			plan(dotterlookahead.NewBook(limits), 60)
		}
	})
	b.Run("next", func(b *testing.B) {
		book := dotterlookahead.NewBook(limits)
		plan(book, 60)
		b.ResetTimer()
		for range b.N {
			plan(book, 60)
		}
	})
	b.Run("no room", func(b *testing.B) {
		for range b.N {
			plan(dotterlookahead.NewBook(limits), 125)
		}
	})
}

// TestUrgentReservationHoldsBackAll guards against tasks that take the room gathered for a lost one because they
// take precedence or are exempt from reservations.
func TestUrgentReservationHoldsBackAll(t *testing.T) {
	late := dotterlookahead.Candidate{ID: "other", Size: cores(6), Order: 6, Latest: start + 9000}
	preceding, exempt, ending, holder := late, late, late, late
	preceding.Order, exempt.Exempt, ending.Latest, holder.ID = 4, true, start+500, "large"
	tests := map[string]struct {
		candidate dotterlookahead.Candidate
		allowed   bool
	}{
		"comes later":      {late, false},
		"takes precedence": {preceding, false},
		"is exempt":        {exempt, false},
		"ends in time":     {ending, true},
		"is the holder":    {holder, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := dotterlookahead.NewBook(dotterlookahead.Limits{MinWait: 2000})
			p := b.Begin(start, []dotterlookahead.Worker{busyWorker("w0")}, one)
			q := request("large", cores(60))
			require.Zero(t, p.Reserve(q), "it has not waited long enough for another reservation")
			q.Urgent = true
			require.Equal(t, 1, p.Reserve(q))
			assert.Equal(t, tc.allowed, p.Allows(0, tc.candidate))
		})
	}
}

// TestUrgentReservationIsMadeAgain guards against a lost task that gets no reservation for as long as its last
// one was held.
func TestUrgentReservationIsMadeAgain(t *testing.T) {
	tests := map[string]struct {
		urgent bool
		again  int
	}{
		"urgent":     {urgent: true, again: 1},
		"not urgent": {again: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := dotterlookahead.NewBook(dotterlookahead.Limits{MaxHold: 1000})
			workers := []dotterlookahead.Worker{busyWorker("w0")}
			q := request("large", cores(60))
			q.Urgent = tc.urgent
			require.Equal(t, 1, b.Begin(start, workers, one).Reserve(q))
			assert.Equal(t, tc.again, b.Begin(start+1000, workers, one).Reserve(q))
		})
	}
}
