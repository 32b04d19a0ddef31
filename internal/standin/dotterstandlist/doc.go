// Package dotterstandlist keeps the stand-in's lagging host list.
//
// The platform knows every change at once; what the list shows is the state of
// things one lag ago.
package dotterstandlist
