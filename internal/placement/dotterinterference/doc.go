// Package dotterinterference learns how much tasks of one template slow down
// tasks of another that run on the same worker.
//
// The slowdown of a victim above 1 (its excess) is taken to be the sum of the
// effects of its co-runners. The effect of aggressor a on victim v is
//
//	general(a) + specific(v, a)
//
// where general(a) is shared by all victims, so that one report of any victim
// already tells something about a for the others. Each term is an estimate
// with a mean and a variance. A report updates all terms that had a part in it
// by a Kalman step with a diagonal covariance: the surprise is attributed to
// the co-runners in proportion to how uncertain their terms are. Blaming each
// co-runner alike was weighed against it and needs many more reports, since it
// keeps blaming known harmless ones; a full covariance is exact but costs the
// square of the co-runners for each report.
//
// Variances grow with time towards those of the prior, so that old knowledge
// gives way when behaviour changes. A term never reported on is predicted by
// the prior: in proportion to the part of the host that the aggressor holds.
//
// Memory is bounded: the terms are in a table of fixed size in which the ones
// that were not touched lately are replaced first.
package dotterinterference
