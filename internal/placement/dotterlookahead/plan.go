package dotterlookahead

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Waiting describes the waiting tasks of an ID at the beginning of a plan.
type Waiting struct {
	Count int // number of like tasks that wait; 0: none, which releases their reservations
	Order int // position in the order of placement; a task of lower order takes precedence
}

// Candidate is a task that may start now.
type Candidate struct {
	ID     ID
	Size   dotterroom.Room
	Order  int
	Latest dotterclock.Millis // instant by which it will probably have ended if it starts now
	Exempt bool               // is not held back by reservations, only by claims
}

// Request is a task, or a number of like ones, that found no worker.
type Request struct {
	ID      ID
	Size    dotterroom.Room
	Count   int
	Order   int
	Since   dotterclock.Millis    // since when it waits
	StartBy dotterclock.Millis    // instant after which a start is of no use; Never: always of use
	Allowed func(worker int) bool // whether nothing but room is missing there; nil: everywhere
	Max     int                   // largest number of reservations in the book
	Urgent  bool                  // needs no wait before a reservation, and holds back all other candidates
}

// Plan is the view of one pass of placement. Workers are named by their index in the slice
// passed to Begin.
type Plan struct {
	book  *Book
	now   dotterclock.Millis
	rooms []room
	sizes map[dotterroom.Room][]forecast // by size, for each worker; computed when first needed
}

// Begin starts a plan. It drops the claims and reservations that have ended, whose tasks wait no
// more or whose worker is gone or closed, and predicts the others anew. waiting describes the tasks
// of an ID that wait now.
func (b *Book) Begin(now dotterclock.Millis, workers []Worker, waiting func(ID) Waiting) *Plan {
	p := &Plan{book: b, now: now, rooms: make([]room, len(workers)), sizes: map[dotterroom.Room][]forecast{}}
	for i, w := range workers {
		p.rooms[i].Worker = w
	}
	b.forgetPauses(now)
	if b.Empty() {
		return p
	}
	byName := p.byName()
	for id, c := range b.claims {
		r := byName[c.worker]
		if r == nil || !r.Open || waiting(id).Count == 0 || now >= c.until {
			delete(b.claims, id)
			continue
		}
		r.claimed = r.claimed.Add(c.size)
	}
	for _, r := range slices.Clone(b.reservations) {
		p.renew(byName[r.Worker], r, waiting(r.ID))
	}
	return p
}

// byName returns the workers that have a claim or a reservation.
func (p *Plan) byName() map[string]*room {
	byName := map[string]*room{}
	for _, c := range p.book.claims {
		byName[c.worker] = nil
	}
	for _, r := range p.book.reservations {
		byName[r.Worker] = nil
	}
	for i := range p.rooms {
		if _, ok := byName[p.rooms[i].Name]; ok {
			byName[p.rooms[i].Name] = &p.rooms[i]
		}
	}
	return byName
}

// renew predicts the reservation anew, or removes it.
func (p *Plan) renew(w *room, r *Reservation, waiting Waiting) {
	b := p.book
	if w == nil || !w.Open || !w.Reservable || b.held(r.ID) > waiting.Count {
		b.remove(r, Released)
		return
	}
	f := w.expect(p.now, r.Size)
	if f.at == Never {
		b.remove(r, Released)
		return
	}
	if !r.Size.Fits(w.Free.Sub(w.claimed)) {
		r.fitsSince = 0
	} else if r.fitsSince == 0 {
		r.fitsSince = p.now
	}
	switch {
	case p.now >= r.Until:
		b.giveUp(p.now, r, Expired)
		return
	case b.limits.MaxIdle > 0 && r.fitsSince > 0 && p.now-r.fitsSince >= b.limits.MaxIdle:
		b.giveUp(p.now, r, Released)
		return
	}
	r.AvailableAt, r.Leftover, r.order = f.at, f.leftover, waiting.Order
	w.reservation = r
}

// Allows reports whether the candidate may start on the worker: whether the room that it needs is
// free and not withheld. Other conditions are the caller's.
func (p *Plan) Allows(worker int, c Candidate) bool {
	return c.Size.Fits(p.rooms[worker].Free) && p.leavesClaims(worker, c) && p.leavesReservation(worker, c)
}

// leavesClaims reports whether the start leaves enough room for the claims of other tasks.
func (p *Plan) leavesClaims(worker int, c Candidate) bool {
	r := &p.rooms[worker]
	return r.claimed.IsZero() || p.book.ClaimsOn(c.ID, r.Name) || c.Size.Fits(r.Free.Sub(r.claimed))
}

// leavesReservation reports whether the start does not delay the holder of the worker's
// reservation, or is not held back by it.
func (p *Plan) leavesReservation(worker int, c Candidate) bool {
	r := p.rooms[worker].reservation
	if r == nil || r.ID == c.ID || !r.urgent && (c.Exempt || c.Order < r.order) {
		return true
	}
	return c.Latest <= r.AvailableAt || c.Size.Fits(r.Leftover)
}

// Withholds reports whether the worker's room is withheld from the candidate.
func (p *Plan) Withholds(worker int, c Candidate) bool {
	return !p.leavesClaims(worker, c) || !p.leavesReservation(worker, c)
}

// HasReservation reports whether the worker has a reservation of the ID.
func (p *Plan) HasReservation(worker int, id ID) bool {
	r := p.rooms[worker].reservation
	return r != nil && r.ID == id
}

// Claimed returns the room on the worker that is claimed.
func (p *Plan) Claimed(worker int) dotterroom.Room {
	return p.rooms[worker].claimed
}

// Free returns the free room on the worker, claimed room included.
func (p *Plan) Free(worker int) dotterroom.Room {
	return p.rooms[worker].Free
}

// Claim withholds room on the worker, which is being freed for the ID, until the given instant.
func (p *Plan) Claim(worker int, id ID, size dotterroom.Room, until dotterclock.Millis) {
	r := &p.rooms[worker]
	p.book.claims[id] = claim{worker: r.Name, size: size, until: until}
	r.claimed = r.claimed.Add(size)
	p.changed(worker)
}

// Place takes the room of a task that starts on the worker. left is the number of like tasks that
// still wait; reservations beyond it end.
func (p *Plan) Place(worker int, id ID, size dotterroom.Room, left int) {
	r := &p.rooms[worker]
	r.Free = r.Free.Sub(size)
	p.changed(worker)
	if r.reservation != nil {
		r.reservation.Leftover = r.reservation.Leftover.Sub(size)
	}
	p.dropClaim(id)
	if p.HasReservation(worker, id) {
		p.book.remove(r.reservation, Used)
		r.reservation = nil
	}
	if len(p.book.reservations) > 0 {
		p.trim(id, left)
	}
}

// trim releases the reservations of the ID beyond count, the last to be available first.
func (p *Plan) trim(id ID, count int) {
	for p.book.held(id) > count {
		var last *room
		for i := range p.rooms {
			if r := &p.rooms[i]; p.HasReservation(i, id) && (last == nil || r.reservation.AvailableAt >= last.reservation.AvailableAt) {
				last = r
			}
		}
		if last == nil {
			return
		}
		p.book.remove(last.reservation, Released)
		last.reservation = nil
	}
}

// dropClaim removes the claim of the ID, if any.
func (p *Plan) dropClaim(id ID) {
	c, ok := p.book.claims[id]
	if !ok {
		return
	}
	delete(p.book.claims, id)
	for i := range p.rooms {
		if p.rooms[i].Name == c.worker {
			p.rooms[i].claimed = p.rooms[i].claimed.Sub(c.size)
			p.changed(i)
		}
	}
}

// Reserve makes reservations for the request on the workers that are predicted to have room
// first, as far as the limits allow. It returns the number of reservations that the ID holds.
func (p *Plan) Reserve(q Request) int {
	b := p.book
	held := b.held(q.ID)
	count := min(q.Count-held, q.Max-len(b.reservations))
	if _, paused := b.pauses[q.ID]; count <= 0 || !q.Urgent && (paused || p.now-q.Since < b.limits.MinWait) {
		return held
	}
	for _, c := range p.earliest(q, count) {
		f := c.forecast
		if b.limits.FragmentedOnly && (f.lone || f.at == p.now) {
			continue // the holder's turn comes without a reservation
		}
		r := &Reservation{
			ID: q.ID, Worker: c.room.Name, Size: q.Size, MadeAt: p.now, AvailableAt: f.at, Until: p.until(f),
			Leftover: f.leftover, order: q.Order, urgent: q.Urgent,
		}
		c.room.reservation = r
		b.add(r)
		held++
	}
	return held
}

// until returns when a reservation that is made now expires.
func (p *Plan) until(f forecast) dotterclock.Millis {
	limits := p.book.limits
	if limits.MaxHold == 0 {
		return Never
	}
	return min(f.latest+limits.MaxIdle, p.now+limits.MaxHold)
}

// cost returns the time until the worker has the room, plus the time for which an equal room
// would be withheld: of two workers that have it at the same time, the one whose tasks end together
// withholds less.
func (p *Plan) cost(f forecast) float64 {
	if p.book.limits.Earliest {
		return float64(f.at - p.now)
	}
	return float64(f.at-p.now) + f.idle
}

// forecastsOf returns the predictions made so far of when each worker has room for the size.
func (p *Plan) forecastsOf(size dotterroom.Room) []forecast {
	if _, ok := p.sizes[size]; !ok {
		p.sizes[size] = make([]forecast, len(p.rooms))
	}
	return p.sizes[size]
}

// changed drops the predictions for a worker whose room has changed.
func (p *Plan) changed(worker int) {
	for _, forecasts := range p.sizes {
		forecasts[worker] = forecast{}
	}
}

// expected is a worker and when it is predicted to have room.
type expected struct {
	room     *room
	forecast forecast
}

// earliest returns at most count workers that are predicted to have room for the request in
// time, those of the lowest cost first.
func (p *Plan) earliest(q Request, count int) []expected {
	var found []expected
	latestStart := q.StartBy
	if p.book.limits.MaxHold > 0 {
		latestStart = min(latestStart, p.now+p.book.limits.MaxHold)
	}
	forecasts := p.forecastsOf(q.Size)
	for i := range p.rooms {
		r := &p.rooms[i]
		if !r.Open || !r.Reservable || r.reservation != nil || q.Allowed != nil && !q.Allowed(i) {
			continue
		}
		if !forecasts[i].known {
			forecasts[i] = r.expect(p.now, q.Size)
		}
		f := forecasts[i]
		if f.at == Never || f.at > latestStart {
			continue
		}
		at, _ := slices.BinarySearchFunc(found, p.cost(f), func(e expected, cost float64) int {
			return cmp.Or(cmp.Compare(p.cost(e.forecast), cost), -1) // after those of the same cost
		})
		if at < count {
			found = slices.Insert(found, at, expected{room: r, forecast: f})
			found = found[:min(len(found), count)]
		}
	}
	return found
}
