// Package dotteroutcome defines the outcomes of a caller's request or task.
//
// NotRun is a guarantee that no byte of the request can have reached a backend
// server or that the server itself refused it. Without that guarantee and without
// an answer, the outcome is Unknown.
package dotteroutcome
