// Package dotterplatform puts the stand-in platform together: store, host
// list, workers, backend servers, their faults and the truth about them.
//
// One address serves the store, the host list, the control calls and the
// truth; each worker and each backend server has an address of its own. Entry
// hosts are no part of the stand-in: whoever starts one puts its row into the
// host list with PUT /hosts/{name} and takes it out with DELETE, as the
// platform would when it starts and removes hosts.
package dotterplatform
