// Package dotterfake provides small stand-ins at the root package's interfaces,
// for tests and for comparisons within one process: a configuration, a
// directory, shares and peers that are set by hand.
package dotterfake
