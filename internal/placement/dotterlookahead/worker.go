package dotterlookahead

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Never is the end of tasks that are not expected to end. It leaves room for additions.
const Never = dotterclock.Millis(math.MaxInt64 / 2)

// Holder is a task that holds room on a worker.
type Holder struct {
	Size   dotterroom.Room
	End    dotterclock.Millis // predicted; Never: it is not expected to end
	Latest dotterclock.Millis // instant by which it will probably have ended, not before End
}

// Worker is a worker as a plan begins.
type Worker struct {
	Name       string
	Free       dotterroom.Room
	Open       bool            // may get starts; otherwise its claims and reservations are dropped
	Reservable bool            // may have a reservation
	Holders    func() []Holder // called at most once in a plan, only if needed
}

// room is a worker within a plan.
type room struct {
	Worker
	claimed     dotterroom.Room
	reservation *Reservation
	holders     []Holder // by predicted end, those that never end left out
	ending      dotterroom.Room
	loaded      bool // whether holders and ending, the room that they hold, are filled in
}

// forecast is a prediction of when a worker has room for a size.
type forecast struct {
	at       dotterclock.Millis // Never: not expected
	latest   dotterclock.Millis // instant by which it will probably have the room
	leftover dotterroom.Room    // beside the size at that time
	lone     bool               // whether the last end alone frees the room
	known    bool               // the prediction was made
	idle     float64            // room that is withheld until then, in parts of the size times ms
}

// load fills in the holders.
func (r *room) load() {
	if r.loaded {
		return
	}
	r.loaded = true
	r.holders = slices.DeleteFunc(r.Holders(), func(h Holder) bool { return h.End >= Never })
	slices.SortStableFunc(r.holders, func(a, b Holder) int { return cmp.Compare(a.End, b.End) })
	for _, h := range r.holders {
		r.ending = r.ending.Add(h.Size)
	}
}

// expect predicts when the worker has room for size beside the claims.
func (r *room) expect(now dotterclock.Millis, size dotterroom.Room) forecast {
	free := r.Free.Sub(r.claimed)
	if size.Fits(free) {
		return forecast{known: true, at: now, latest: now, leftover: free.Sub(size)}
	}
	r.load()
	if all := free.Add(r.ending); !size.Fits(all) {
		return forecast{known: true, at: Never, latest: Never, leftover: all}
	}
	latest, before, idle := now, now, 0.0
	for _, h := range r.holders {
		if h.End > before {
			idle += float64(h.End-before) * withheldShare(free, size)
			before = h.End
		}
		free = free.Add(h.Size)
		latest = max(latest, h.Latest)
		if size.Fits(free) {
			return forecast{known: true, at: max(now, h.End), latest: latest, leftover: free.Sub(size), lone: size.Fits(h.Size), idle: idle}
		}
	}
	return forecast{known: true, at: Never, latest: Never, leftover: free}
}

// withheldShare returns the part of size that free room provides, by the component of which it
// has the least.
func withheldShare(free, size dotterroom.Room) float64 {
	share := 1.0
	for _, c := range [][2]int64{{free.MilliCores, size.MilliCores}, {free.MemoryMB, size.MemoryMB}, {free.Accelerators, size.Accelerators}} {
		if c[1] > 0 {
			share = min(share, float64(max(0, c[0]))/float64(c[1]))
		}
	}
	return share
}
