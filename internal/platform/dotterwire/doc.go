// Package dotterwire holds the messages of the platform's HTTP interface.
//
// Every call is a POST of one JSON object, answered by one JSON object. The
// status tells the kinds of failure apart; a failure that carries the header
// Dotter-Not-Run took no effect. Each caller names itself in Dotter-Client.
package dotterwire
