// Package dotterlookahead decides which room on the workers of a shard is withheld for tasks that
// need more of it than is free now, and which other tasks may start there meanwhile.
//
// The load that it handles: small tasks take each gap on a full service as it appears, so that
// a task which needs the room of several of them finds a worker only by chance. Such a task
// gets a reservation on the worker that is predicted to have room for it first. Another task
// may start there if it takes precedence, if it will have ended before the room is needed, or
// if it fits beside the holder of the reservation (EASY backfilling with several reservations,
// at most one on each worker). An urgent
// reservation, for a lost long-running task, holds back all tasks that would delay it, whatever their order. A claim is stronger: room that is being freed for an urgent task and
// withheld from all others.
//
// A Book holds the reservations and claims between plans. Begin compares it with the present
// workers and waiting tasks and returns the Plan, which answers which starts are allowed and
// makes new reservations. The caller chooses among the allowed workers by its own criteria. There is
// no clock, lock or network. A Book is not stored; an owner that has just taken over begins with
// an empty one, and a wrong prediction withholds room for at most Limits.MaxHold.
package dotterlookahead
