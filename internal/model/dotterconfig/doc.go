// Package dotterconfig defines the operators' configuration.
//
// The configuration is one Document under one key of the platform's store. It
// is changed by compare-and-swap, and each change increments its Revision. A process
// adopts a Document only if its revision is higher than that of the current one,
// so the configuration of a process never reverts to an older revision.
//
// The partners share the pool in agreed percentages. Each team belongs to a partner.
// Each template belongs to a team and describes one kind of work, either a
// latency-critical service or a batch task.
package dotterconfig
