// Package dotterintake bounds what callers hold of a process: connections, memory and time.
//
// Callers that a process does not control may open as many connections as they can, send
// requests without end, or not read their answers. An Intake has one memory budget for what
// arrives at all of its doors, and a Door, which is an address on which HTTP requests are
// accepted, has a limit of connections. Memory is charged as bytes arrive, whatever was
// announced, and returned when the request is answered.
//
// When a limit is reached, the request that has held the most for the longest is refused in favour
// of the new one. Part of the budget is reserved for small requests, which a few large ones
// therefore never shut out. A request whose body has arrived is never interrupted. One that
// is, has not been handled, so that it is truthfully answered as not run.
//
// Bodies are read with ReadBody, which ends when the caller's own deadline or the longest
// time for a body is over.
package dotterintake
