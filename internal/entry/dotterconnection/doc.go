// Package dotterconnection is an HTTP/1.1 client for backend servers that sends
// each request at most once.
//
// A connection carries one request at a time and holds one connection permit until
// it is closed. The package uses the standard library to write requests and read
// answers, but not its Transport, which resends a request by itself when a
// connection breaks.
//
// A request counts as not sent as long as no byte of it was handed to the kernel.
// After that, only a complete answer proves that it ran. An exchange without a
// complete answer is lost: Send or the body returns a LostError at once, and the
// connection is read in the background for some time, because the server's slot
// stays in use until the answer comes. LostError.SlotFree is closed when the slot
// counts as free.
//
// A connection can stop delivering data while the kernel still receives
// acknowledgements for what it sends. Therefore, when an exchange times out, all
// connections to that server become suspect. A connection that is suspect or was
// idle for long is used again only after the server answered a probe on it.
package dotterconnection
