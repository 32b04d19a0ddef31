// Package dotterreplica follows the keys below a prefix of the store.
//
// A Replica lists the keys once and then watches for changes. It never trusts a
// watch that hears nothing: waits are short, a wait without an answer is given up,
// and the revision that it continues from moves only with changes that it has
// seen. So a watch that was deaf for a while is found out by the store itself,
// which no longer keeps the changes asked for, and the keys are listed again.
package dotterreplica
