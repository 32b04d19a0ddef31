// Package dotterelusher schedules latency-critical services and batch tasks
// that share hosts.
//
// The daemon runs on small entry hosts. Each one routes callers' requests to
// the backend servers of its failure domain, accepts tasks and starts them on
// workers. All entry hosts have the same role and none has durable state of its
// own: state that must outlive a process is in the platform's store.
//
// This package defines the interfaces that have interchangeable implementations:
// the clients of the platform (Store, HostList, WorkerClient, BackendClient), the
// clock, and the policies (Router, Placer). The types that they exchange are in
// internal/model; implementations are in the other packages below internal.
// The scheduler's core imports this package and the model, never an
// implementation of a platform client.
package dotterelusher
