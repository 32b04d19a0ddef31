// Package dottermessage holds the bodies of the callers' and the operators'
// HTTP API, version 1. Field names in JSON are the Go names.
package dottermessage
