// Package dotterharness runs the programs as processes on loopback for tests.
//
// A Cluster is one stand-in platform and a number of entry hosts in each
// failure domain. Each entry host has a loopback address of its own, so that a
// port that the kernel chose for it can't be taken by an outgoing connection
// before the daemon starts, or between its end and its restart.
//
// Peers reach each other's addresses through a relay, which can silence the
// links between any two entry hosts. It finds out who dials from the kernel's
// table of connections, so the daemons know nothing of it.
//
// Every process ends with the test; if the test's own process dies, the kernel
// ends them.
package dotterharness
