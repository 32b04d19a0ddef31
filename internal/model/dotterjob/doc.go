// Package dotterjob describes jobs: steps of tasks that depend on each other.
//
// A job is accepted whole. A task of a step becomes ready once every task of the
// steps named in After has ended Done. Tasks differ in what they ask of a worker:
// a filling task takes the processor time that others leave, a long-running one is
// restarted however it ends, the tasks of a gang work only together.
//
// Values are immutable; Job.Check names the fault of a job that a caller made.
package dotterjob
