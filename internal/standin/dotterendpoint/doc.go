// Package dotterendpoint serves HTTP on a loopback address that stays the same
// across restarts.
//
// An Endpoint can be closed and reopened on the same port, which simulates a
// process that dies and restarts. Its open connections can be silenced: the
// kernel still acknowledges what the client sends, but the endpoint discards it
// along with everything the handler writes. New connections work normally.
package dotterendpoint
