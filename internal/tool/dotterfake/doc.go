// Package dotterfake provides in-memory fakes of the root package's interfaces,
// for tests and for comparisons within one process: claims, a configuration, a
// directory, permits and peers. The calling code sets their state.
package dotterfake
