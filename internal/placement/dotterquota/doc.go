// Package dotterquota decides how many tasks of a tenant may start now, from the tenant's cap,
// the part of it that is allotted to the shard, and what the tenant uses there.
//
// It handles tenants that send more work than their cap admits, for a burst or for hours, while
// others share the workers: whatever waits for a cap must neither exceed it nor hold room that
// others could use. The caller passes in everything that may run, so the cap also holds while
// owners are replaced and starts are unanswered.
//
// The cap of a tenant is divided among shards in parts whose sum never exceeds the whole. A part
// is a fraction of the cap and not an amount, so a new cap takes effect in each shard without an
// agreement.
package dotterquota
