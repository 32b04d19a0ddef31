// Package dotterjob defines jobs, which consist of steps of tasks with dependencies
// between the steps.
//
// A job is accepted or refused as a whole. The tasks of a step become ready once
// every task of the steps listed in After has ended as Done. A task with Fills uses
// only processor time that other tasks leave idle, a long-running task is restarted
// however it ends, and the tasks of a gang make progress only while all of them run.
//
// Values are immutable. Job.Check validates a job that a caller submitted.
package dotterjob
