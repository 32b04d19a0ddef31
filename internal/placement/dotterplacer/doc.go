// Package dotterplacer decides which task of a shard runs on which worker.
//
// A Placer implements dotterelusher.Placer. Each Plan is one round over a
// snapshot of the shard, in this order:
//
//  1. Queued tasks that must not be retried are ended.
//  2. Interference with latency-critical tasks is mitigated: the batch task to
//     which the model attributes most of the slowdown is throttled and, if
//     later reports still exceed the target, checkpointed and evicted.
//     Throttles have a hysteresis and a limit, evictions a budget.
//  3. Queued tasks are placed by rank, urgency, fair share and age. Each goes
//     to the worker with the lowest predicted cost among those with room for
//     it. The cost covers the slowdown of latency-critical tasks relative to
//     their targets, lost batch progress, the load of the worker and the spread
//     over racks.
//
// A batch task that would cost more progress than it makes, for instance by
// pushing a latency-critical task over its target, waits for a limited time for
// a better worker. An urgent task without room preempts batch tasks of lower
// priority and claims the room that they leave. A task that was overtaken for
// long gets a reservation on the worker that is expected to have room for it
// first; other batch tasks may use that room only if they are expected to end
// before it is needed.
//
// All decisions rest on reports that arrive late: effects between templates
// (dotterinterference), sizes and run times (dottersize) and failures
// (dotterattribution). The models of templates may be shared by all Placers of a
// process.
package dotterplacer
