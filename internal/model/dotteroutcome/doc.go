// Package dotteroutcome names how a caller's request or task ended.
//
// NotRun is a promise: no byte of the request can have reached a backend
// server, or the server itself refused it. Unknown is said whenever that
// promise can't be made and no answer was received.
package dotteroutcome
