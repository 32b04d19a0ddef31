// Package dotterhost describes the hosts that the platform lists.
//
// The platform keeps a list of live and leaving hosts. The list lags: a host
// may be gone for a while before its row disappears, and a new one serves for
// a while before its row appears. A row says where a host is, which failure
// domain and rack it belongs to, and what it offers: a worker offers Room, a
// backend server offers slots and connections for one service.
package dotterhost
