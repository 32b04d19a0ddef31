// Package dotterfailure holds fault-injection tests that run against real daemons.
//
// Each test runs a cluster of processes, injects a failure while callers send
// requests or tasks, and checks the guarantees against the executions that the
// stand-in's backend servers and workers recorded. No test relies on the log or
// the metrics of a daemon. Tests wait for conditions with generous timeouts, and
// check a duration only where the guarantee itself states one.
package dotterfailure
