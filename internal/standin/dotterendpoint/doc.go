// Package dotterendpoint serves HTTP at one loopback address that survives
// restarts.
//
// An Endpoint can be closed and opened again at the same port, as a process
// that dies and comes back. Its connections can go silent: what the client
// sends is still acknowledged by the kernel and thrown away, and what the
// handler writes is lost, while new connections work.
package dotterendpoint
