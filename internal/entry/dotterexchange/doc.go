// Package dotterexchange sends requests to backend servers and returns their
// answers.
//
// An Exchanger acquires a slot, sends the request, and decides whether to retry
// when an attempt fails. A request that did not run may be retried; one that may
// have run is retried only if it is repeatable. Retries share one budget with
// hedges, which are second attempts made while the first attempt of a repeatable
// request is slow. Once an attempt may have run, the final outcome of the request
// is an answer or Unknown, never NotRun.
//
// A request for which this failure domain has no slot is forwarded once to an
// entry host of another failure domain. A forwarded request is never forwarded
// again. The answer of that host is returned unchanged.
package dotterexchange
