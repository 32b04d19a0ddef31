// Package dotterexplain finds in the logs of several hosts what happened to a job.
//
// It takes the lines that name the job and, between the first and the last of them,
// those on which every job depends: who owned the shard, which configuration was in
// force, whether the store and the workers of the job's runs answered. Lines are
// ordered by their time of day; hosts' clocks may differ by some milliseconds.
package dotterexplain
