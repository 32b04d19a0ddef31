// Package dotterfault defines the faults that can be injected into the stand-in
// platform and the control calls that set them.
//
// Each fault value replaces the previous one of the same component. A zero
// value clears it.
package dotterfault
