// Package dotterdaemon builds and runs the components of an entry host.
//
// New builds all components and binds all addresses, so that errors are reported at
// startup. Run serves until its context ends and then shuts down without aborting
// requests: it announces that the host is leaving, hands its shards over, waits for
// requests in progress, returns its shares of the backend servers by leaving the
// membership record, and releases the peer address last. A process that can bind that
// address proves that this one is gone.
package dotterdaemon
