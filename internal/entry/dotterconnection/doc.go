// Package dotterconnection sends requests to backend servers over connections
// of its own.
//
// A connection carries one request at a time and is bound to one connection
// permit for its whole life. The standard library writes the request and reads
// the answer; its Transport is not used, because that sends a request again by
// itself when a connection breaks.
//
// A request has not been sent as long as no byte of it was handed to the
// kernel; after that only a whole answer tells that it ran. An exchange that
// ends without one is lost: its caller is told at once, and the connection is
// read on in the background for a while, because the server's slot stays in use
// until its answer comes. LostError.Ended tells when the slot is to be counted
// as free.
//
// A connection can go silent while the kernel still has its bytes acknowledged.
// So after one lost exchange all other connections to that server are
// suspected, and a suspected or long-idle connection carries a request only
// after a probe was answered on it.
package dotterconnection
