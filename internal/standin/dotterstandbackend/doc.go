// Package dotterstandbackend stands in for the backend servers of services.
//
// A Server executes whatever it is sent, also beyond its slots and
// connections, and lets the recorder count that as a violation. It answers
// with the request's id on the first line and the request's body after it, so
// that a caller can check that it got the whole answer to its own request.
// Work goes on when the client is gone, as in a real service that doesn't
// watch its connection. A request counts as running until just before its
// answer is sent, so a client that has the answer may send the next one.
package dotterstandbackend
