// Package dotterfault describes the faults that can be switched in the
// stand-in platform, as its control calls carry them.
//
// Each fault value replaces the one before of the same subject; a zero value
// lifts it.
package dotterfault
