// Package dottertruth records the ground truth about the stand-in's workers and
// backend servers: what they actually executed.
//
// Workers and backend servers report every start and end to the recorder at the
// point of execution, so tests verify guarantees against these records and never
// against what the daemons logged. The recorder detects violations itself: two
// concurrent attempts of one task, a worker that holds more than its capacity,
// and a backend server that exceeds its slots or connections.
package dottertruth
