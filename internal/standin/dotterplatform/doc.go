// Package dotterplatform assembles the stand-in platform: store, host list,
// workers, backend servers, fault injection and the recorded ground truth.
//
// One address serves the store, the host list, the control calls and the
// recorded truth; each worker and each backend server has its own address.
// Entry hosts are not part of the stand-in. Whoever starts an entry host adds it
// to the host list with PUT /hosts/{name} and removes it with DELETE, as the
// platform does when it starts and removes hosts.
package dotterplatform
