// Package dotterwire defines the paths, headers and messages of the platform's HTTP
// interface and implements calls of it.
//
// Every call is a POST of one JSON object, answered by one JSON object. The status
// code identifies the kind of failure. A failed call whose answer has the header
// Dotter-Not-Run had no effect. Each client sends its name in Dotter-Client.
package dotterwire
