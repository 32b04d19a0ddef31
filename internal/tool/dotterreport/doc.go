// Package dotterreport records and summarizes the results of a load run.
//
// A Recorder receives the result of each request and keeps a latency histogram
// for each pair of request kind and outcome. Its Report is written as JSON and shown as
// a table. Latency is measured from the time at which a request was due, not from
// the time at which it was sent, so that a stall counts in every request that it
// delayed (no coordinated omission).
package dotterreport
