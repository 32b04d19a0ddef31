// Package dotterdaemon puts one entry host's parts together and runs them.
//
// New builds every part and binds every address, so that a faulty start fails
// at once. Run serves until it is told to stop and then shuts down in the order
// that cuts off nothing: refuse new work, end requests in progress, hand shards
// over, give the shares of backend servers back, leave the record, and free the
// peer address last, because a process that can bind it takes this one for gone.
package dotterdaemon
