// Package dotterqueue holds requests that wait for a slot.
//
// A Queue is bounded and ordered by rank, then deadline, then arrival. When it
// is full, a newcomer that goes before the last item takes that one's place. A
// Queue has no lock; its owner has one.
package dotterqueue
