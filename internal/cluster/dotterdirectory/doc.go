// Package dotterdirectory caches the platform's host list in this process.
//
// The list is polled. While reads fail, the last copy that was read stays in
// use: a failed read is no evidence about any host. For each host that
// disappeared from the list, the directory also records since when all
// successful reads have lacked it. That absence is part of the proof that the
// host's process is gone.
package dotterdirectory
