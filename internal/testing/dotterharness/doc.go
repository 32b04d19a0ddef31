// Package dotterharness runs the project's programs as processes on loopback
// addresses for tests.
//
// A Cluster is one stand-in platform and a number of entry hosts in each
// failure domain. Each entry host has its own loopback address. On a shared
// address, an outgoing connection could take the port that the kernel assigned
// to an entry host before its daemon starts or while it restarts.
//
// Entry hosts connect to each other through a relay, which can silently drop
// the traffic between any two of them. The relay identifies the dialing entry
// host from the kernel's connection table, so the daemons run unmodified.
//
// Every process is killed when its test ends. If the test process itself dies,
// the kernel kills them.
package dotterharness
