// Package dotterinterference learns how much tasks of one template slow down
// tasks of another that run on the same worker.
//
// The excess of a victim, its slowdown minus 1, is modelled as the sum of the
// effects of its co-runners. The effect of aggressor a on victim v is
//
//	general(a) + specific(v, a)
//
// where general(a) is shared by all victims, so that a report of one victim
// also improves the predictions for the others. Each term is an estimate with a
// mean and a variance. A report updates the terms that contributed to it by a
// Kalman step with a diagonal covariance: the innovation is distributed over the
// co-runners in proportion to the uncertainty of their terms. Distributing it
// evenly needs many more reports, because it keeps attributing slowdown to
// co-runners already known to be harmless. A full covariance is exact, but its
// cost for each report is quadratic in the number of co-runners.
//
// Variances grow back to those of the prior with time, so that new reports
// outweigh old ones when behaviour changes. Without any reports, the predicted
// effect is that of the prior: proportional to the aggressor's share of the host.
//
// Memory is bounded: terms are kept in a table of limited size, with the CLOCK
// approximation of least-recently-used replacement.
package dotterinterference
