// Package dotterslot divides the slots and connections of backend servers among
// the entry hosts of a failure domain.
//
// Each member list of a failure domain has an epoch number. Within one epoch, the
// holder of each slot and connection is a pure function of the member list, the
// server and the index (see Assign), so members agree on it without exchanging
// messages. After the member list changes, the new holder of a slot may use it
// only once the previous holder has promised not to use it any more.
//
// A member adopts an epoch, which immediately changes what it may acquire. It
// acknowledges the epoch once everything it has in flight fits within what it
// holds in that epoch. An acknowledgement is never revoked, so late delivery is
// harmless. An epoch is open while some member of it has not acknowledged a later
// one. A member at epoch k may use a slot that it holds in k if, for each open
// epoch e < k in which another member held the slot, that other member is proved
// gone or has acknowledged an epoch a with e < a <= k. The upper bound is
// required: a member that skipped epoch k and holds the slot both before and
// after it has never released the slot, so an acknowledgement of a later epoch
// does not show that the slot is free in k.
//
// Safety does not depend on clocks, and shares need no renewal: a share stays
// valid while the store is down and while its holder is partitioned. The cost is
// that the share of a member that is frozen, but not proved gone, stays idle.
//
// Ledger implements this rule and issues permits by index. A permit in use can be
// moved to another index of the same server, because a server counts requests
// and does not know their indexes. A member can therefore acknowledge an epoch as
// soon as the number of its requests in flight fits its new share.
package dotterslot
