// Package dotterhead keeps one owner of a shard at a time, and orders its writes.
//
// One key of the store, the head, names the owner, its epoch and the number of its
// newest commit. Every commit of the owner is one transaction that expects the head
// at the version of the commit before and writes it anew. So a commit takes effect
// once or never, however late a repeated call arrives, and an owner that was
// replaced finds out with its next commit: the head is the fence, and no clock is
// in the argument.
//
// The head also shows that the owner lives, since an idle owner commits every
// BeatSpan. A host that has seen the same head for its patience takes the shard
// over with the same kind of transaction; of several that try, one succeeds. A
// wrong suspicion costs a takeover and never a promise. Weighed against leases of
// the store, which may be revoked or lapse while their holder works.
package dotterhead
