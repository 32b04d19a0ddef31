// Package dotterkey describes what the platform's store holds under a key.
//
// Each key has a Version that rises by at least one with every change of that
// key and is never used twice for it, also after a deletion. The store as a
// whole has a Revision that rises with every change of any key; a watch
// continues from a Revision.
package dotterkey
