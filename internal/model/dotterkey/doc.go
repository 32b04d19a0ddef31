// Package dotterkey defines the entries, versions and transactions of the platform's
// key-value store.
//
// Each key has a Version that increases by at least one with every change of the
// key and is never reused for it, even after a deletion. The store as a whole has
// a Revision that increases with every change of any key. A watch continues from a
// Revision.
package dotterkey
