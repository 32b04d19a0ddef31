// Package dotterqueue implements the bounded priority queue of requests that
// wait for a slot of a backend server.
//
// Items are ordered by rank, then deadline, then arrival. When the queue is
// full, a new item that precedes the last one displaces it. A Queue does no
// locking; the caller must serialize access to it.
package dotterqueue
