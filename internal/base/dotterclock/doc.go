// Package dotterclock provides clocks and the unit of time of the whole project.
//
// Points in time and durations are both of type Millis: milliseconds since the Unix
// epoch, or a number of milliseconds. With one integer type for both, settings, wire
// messages and logs use the same unit, and no conversion between them is needed.
//
// System never goes backwards: it reads the wall clock once and then follows
// the monotonic clock. Manual advances only when a test calls Advance.
package dotterclock
