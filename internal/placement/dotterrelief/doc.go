// Package dotterrelief decides which filling tasks on a worker to stop, to slow down or to
// leave as they are when the load of a serving task there is high.
//
// It handles serving tasks whose users' load swings by half within some seconds, beside
// filling tasks of which a part interferes with them. There are two decisions:
//
//   - ByLoad stops the filling tasks that add most to the load until enough load is off. It
//     suits deployments where a stop costs less than a filling task's run time.
//   - ByCost reduces their paces as far as necessary, and stops a task only once the delay by
//     its reduced pace has reached what a stop costs: its work since the last checkpoint, the
//     time until its room is free and the time to restore it elsewhere. This costs at most
//     about twice as much as the better of the two, without knowing for how long the load
//     stays high.
//
// Both end the work of all filling tasks on a worker on which a serving task has been over
// its target for a third of the longest permitted time. They take values and return values,
// without clock, lock or network.
package dotterrelief
