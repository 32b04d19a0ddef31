// Package dotterreport records what a load run saw and sums it up.
//
// A Recorder takes in one result for each request; it keeps a histogram for
// each kind of request and outcome. Its Report is written as JSON and shown as
// a table. Latencies count from the instant at which a request was due, not
// from that at which it was sent, so that a stall shows in every request that
// it held up.
package dotterreport
