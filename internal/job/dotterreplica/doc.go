// Package dotterreplica replicates the store's keys with a common prefix.
//
// A Replica lists the keys once and then watches for changes. It does not rely on a
// watch that reports nothing: waits are short, a wait without an answer is abandoned,
// and the revision from which it resumes advances only with changes received. So if a
// watch missed changes for a while, the next one requests them again from the store;
// if the store has compacted them, it says so and the keys are listed again.
package dotterreplica
