// Package dotterslot shares out backend servers' slots and connections among
// the entry hosts of a failure domain.
//
// The members of the failure domain are numbered by epochs. Within one epoch
// the holder of every single slot and connection is a pure function of the
// member list, the server and the index (Assign), so that no message is needed
// to agree on it. When the member list changes, a slot that moves may be used
// by its new holder only once its old holder has promised to use it no more.
//
// A member adopts an epoch, which changes what it may use from then on, and
// acknowledges it once nothing that it has in flight lies outside what it holds
// in that epoch. An acknowledgement is a promise for good, and late ones do no
// harm. Epochs of which some member has not yet acknowledged a later one are
// open. A member that is at epoch k may use a slot that is its at k when, for
// each open epoch e < k in which another member held it, that member is proved
// gone or has sent an acknowledgement a with e < a <= k. The upper bound is
// needed: a member that skipped an epoch, and holds the slot before and after
// it, has let go of nothing as far as the skipped epoch is concerned.
//
// No clock is part of the argument, and nothing is renewed: a share holds while
// the store is down and while its holder is cut off. The price is that the
// share of a member that is frozen, and not proved gone, stays idle.
//
// Ledger applies the rule and hands out permits by index. A permit in use may
// be moved to another index of the same server, since a server counts requests
// and does not know their numbers; this lets a member acknowledge as soon as
// what it has in flight fits what it keeps.
package dotterslot
