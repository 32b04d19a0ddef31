// Package dottertruth records what the stand-in's workers and backend servers
// really did.
//
// The recorder is told of every start and end at the place where the work
// happens, so tests judge promises by it and never by what the daemons logged.
// It notices by itself when two attempts of one task run at once, when a
// worker holds more than its room, and when a backend server has more requests
// or connections than its limits.
package dottertruth
