// Package dotterworker sends commands to the platform's workers over HTTP.
//
// Each command is sent at most once. A worker that says no answers with a
// report in which Refused is set; that is not an error.
package dotterworker
