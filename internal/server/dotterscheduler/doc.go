// Package dotterscheduler puts the scheduler of jobs together: what every entry
// host runs, and what the owner of the shard runs besides.
//
// It meets the platform only through the interfaces of the root package and
// through sinks that decode what the platform's keys hold; the program that builds
// it supplies both.
package dotterscheduler
