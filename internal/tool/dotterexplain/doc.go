// Package dotterexplain extracts the history of a job from the logs of several hosts.
//
// It takes the lines that name the job and, between the first and the last of them,
// the lines that concern every job: changes of the shard's owner and of the
// configuration in force, and whether the store and the workers of the job's runs
// answered. While a long-running task of the job that lost its run waited, they also show the room
// of its shard, and LostTasks tells from them why it waited. Lines are ordered by their timestamps; hosts' clocks may differ by some milliseconds.
package dotterexplain
