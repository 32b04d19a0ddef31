// Package dotterscheduler assembles the scheduler of jobs: the components that every
// entry host runs, and those that only the owner of the shard runs.
//
// It accesses the platform only through interfaces of the root package and through
// sinks that decode the values of the platform's keys. The program that builds the
// scheduler supplies both.
package dotterscheduler
