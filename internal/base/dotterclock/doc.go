// Package dotterclock provides the project's one unit of time.
//
// Every instant and every span is a Millis. An instant counts milliseconds
// since the Unix epoch; a span counts milliseconds. One integer type for both
// keeps settings, wire messages and logs in the same unit, so that no value is
// ever converted between two of them.
//
// System never goes backwards: it reads the wall clock once and then follows
// the monotonic clock. Manual moves only when a test moves it.
package dotterclock
