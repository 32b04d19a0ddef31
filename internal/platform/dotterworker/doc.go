// Package dotterworker sends commands to the platform's workers over HTTP.
//
// Each command is sent at most once. A worker that refuses a command answers with a
// report whose Refused is set, which is not an error.
package dotterworker
