// Package dotterpanic contains panics, so that one malformed record or one unexpected state
// costs what it belongs to, and not the process.
package dotterpanic
