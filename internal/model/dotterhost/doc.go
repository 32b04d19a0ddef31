// Package dotterhost defines the rows of the platform's host list.
//
// The platform keeps a list of live and leaving hosts. The list lags behind: a row
// may remain for a while after its host is gone, and a new host may be serving for
// a while before its row appears. A row holds a host's address, failure domain and
// rack, and its capacity: a Room for a worker, slots and connections for one
// service for a backend server.
package dotterhost
