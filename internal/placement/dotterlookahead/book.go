package dotterlookahead

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// ID names a waiting task, or a number of like tasks that wait together.
type ID string

// Limits bounds the reservations of a Book. Zero durations set no limit.
type Limits struct {
	MinWait        dotterclock.Millis // shortest wait before a reservation: most tasks find room by then
	MaxHold        dotterclock.Millis // longest time of a reservation
	MaxIdle        dotterclock.Millis // longest time for which the holder may leave the room unused once it fits
	Earliest       bool               // choose workers by the time of the room alone, not by what is withheld until then
	FragmentedOnly bool               // no reservation where the room fits already or one end alone frees it
}

// Reservation is room on a worker that is withheld for a task from AvailableAt on.
type Reservation struct {
	ID          ID
	Worker      string
	Size        dotterroom.Room
	MadeAt      dotterclock.Millis
	AvailableAt dotterclock.Millis // when the worker is predicted to have the room
	Until       dotterclock.Millis // when the reservation expires; Never: only with the task or the worker
	Leftover    dotterroom.Room    // room predicted to be left beside the holder at AvailableAt
	order       int                // of the holder; requests with a lower one are not held back
	urgent      bool               // see Request
	fitsSince   dotterclock.Millis // since when the room has been free; 0: it is not
}

// Outcome tells what became of a reservation.
type Outcome string

// The outcomes.
const (
	Made     Outcome = "Made"
	Used     Outcome = "Used"     // its holder started in the reserved room
	Released Outcome = "Released" // not needed any more, not used, or its worker gets no starts
	Expired  Outcome = "Expired"  // held until Reservation.Until
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{Made, Used, Released, Expired}

// Event is a change of a reservation.
type Event struct {
	Outcome     Outcome
	Reservation Reservation
}

// claim is room on a worker that is being freed for a task.
type claim struct {
	worker string
	size   dotterroom.Room
	until  dotterclock.Millis
}

// Book holds the reservations and claims of a shard between plans. It is not safe for
// concurrent use.
type Book struct {
	limits       Limits
	reservations []*Reservation // in the order in which they were made
	claims       map[ID]claim
	pauses       map[ID]dotterclock.Millis // until when the ID gets no reservation
	events       []Event
}

// NewBook returns an empty book.
func NewBook(limits Limits) *Book {
	return &Book{limits: limits, claims: map[ID]claim{}, pauses: map[ID]dotterclock.Millis{}}
}

// Empty reports whether the book withholds no room.
func (b *Book) Empty() bool {
	return len(b.reservations) == 0 && len(b.claims) == 0
}

// Reserved returns the number of reservations.
func (b *Book) Reserved() int {
	return len(b.reservations)
}

// Holds reports whether the ID has a claim or a reservation.
func (b *Book) Holds(id ID) bool {
	_, claimed := b.claims[id]
	return claimed || b.held(id) > 0
}

// Claims reports whether the ID has a claim.
func (b *Book) Claims(id ID) bool {
	_, ok := b.claims[id]
	return ok
}

// ClaimsOn reports whether the ID has a claim on the worker.
func (b *Book) ClaimsOn(id ID, worker string) bool {
	c, ok := b.claims[id]
	return ok && c.worker == worker
}

// TakeEvents returns the changes of reservations since the last call.
func (b *Book) TakeEvents() []Event {
	events := b.events
	b.events = nil
	return events
}

// held returns the number of reservations of the ID.
func (b *Book) held(id ID) int {
	n := 0
	for _, r := range b.reservations {
		if r.ID == id {
			n++
		}
	}
	return n
}

func (b *Book) add(r *Reservation) {
	b.reservations = append(b.reservations, r)
	b.events = append(b.events, Event{Outcome: Made, Reservation: *r})
}

func (b *Book) remove(r *Reservation, outcome Outcome) {
	b.reservations = slices.DeleteFunc(b.reservations, func(other *Reservation) bool { return other == r })
	b.events = append(b.events, Event{Outcome: outcome, Reservation: *r})
}

// giveUp removes a reservation that did not serve its holder. The ID gets no other for as long
// as it was held, so that wrong predictions withhold room half of the time at most. An urgent one may
// get another at once.
func (b *Book) giveUp(now dotterclock.Millis, r *Reservation, outcome Outcome) {
	b.remove(r, outcome)
	if r.urgent {
		return
	}
	b.pauses[r.ID] = now + now - r.MadeAt
}

// forgetPauses drops the pauses that are over.
func (b *Book) forgetPauses(now dotterclock.Millis) {
	for id, until := range b.pauses {
		if until <= now {
			delete(b.pauses, id)
		}
	}
}
