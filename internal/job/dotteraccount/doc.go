// Package dotteraccount accounts for the time that a job takes until it is decided: how long
// its tasks waited, ran, were stopped (by cause) or were lost, and which task was the slowest.
//
// It shows why one quick job in a hundred takes several times as long as the others: the
// log line that tells the outcome of the job has the account.
//
// Sums are over the tasks of the job, so they may exceed the time that the job took. An
// account covers what one owner has seen. That of a successor begins with the runs that it
// finds, and says so. Its memory and the length of its fields do not depend on the number of
// tasks, runs or causes.
package dotteraccount
