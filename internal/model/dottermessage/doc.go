// Package dottermessage defines the request and answer bodies of version 1 of the
// HTTP APIs for callers and operators. Field names in JSON are the Go names.
package dottermessage
