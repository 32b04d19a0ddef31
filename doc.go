// Package dotterelusher schedules latency-critical services and batch tasks
// that share hosts.
//
// The daemon runs on small entry hosts. Each one routes callers' requests to
// the backend servers of its failure domain, accepts tasks and starts them on
// workers. No entry host is special and none keeps anything: what must last is
// in the platform's store.
//
// This package holds only the interfaces at which behaviour varies: the
// platform's side (Store, HostList, WorkerClient, BackendClient), the clock, and
// the policies (Router, Placer). Values that cross the interfaces are in
// internal/model; implementations are in the other packages below internal.
// The core imports this package and the model, never an implementation of the
// platform's side.
package dotterelusher
