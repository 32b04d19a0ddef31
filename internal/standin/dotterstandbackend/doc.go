// Package dotterstandbackend simulates the backend servers of services.
//
// A Server executes every request, even when it exceeds its slots or
// connections; the recorder counts that as a violation. The answer consists of
// the request ID on the first line followed by the request body, so that a
// caller can verify that it received the complete answer to its own request.
// Work continues after the client disconnects, as in a real service that does
// not monitor its connections. A request stops counting as running just before
// its answer is sent, so a client that has received the answer can send the next
// request without exceeding the slots.
package dotterstandbackend
