// Package dotterdirectory keeps this process's copy of the platform's host list.
//
// The list is polled. While it can't be read, the last good copy stays in force:
// a list that can't be read proves nothing about any host. The directory also
// remembers since when each host that was once listed has been absent from
// every good read, which is one part of the proof that its process is gone.
package dotterdirectory
