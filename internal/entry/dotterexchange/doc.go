// Package dotterexchange carries a request to a backend server and brings its
// answer back.
//
// An Exchanger takes a slot, sends, and decides what follows when a sending
// brings no whole answer. What was not run may be sent again; what may have run
// is sent again only if it is repeatable. Both spend from one budget, as do
// hedges, the second sendings of slow repeatable requests. Once one sending may
// have run, the request's final outcome is an answer or Unknown, never NotRun.
//
// A request for which this failure domain has no slot is forwarded once to an
// entry host of another domain; a forwarded one is never forwarded again. What
// that host says is passed on as it is.
package dotterexchange
