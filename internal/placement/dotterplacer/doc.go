// Package dotterplacer decides which task of a shard runs on which worker.
//
// A Placer implements dotterelusher.Placer. Each Plan is one round over a
// snapshot of the shard, in this order:
//
//  1. Tasks that have failed too often are ended.
//  2. Latency-critical tasks that are disturbed are helped: the batch task to
//     which the model attributes most of the disturbance is throttled, and,
//     when that was not enough for a while, checkpointed and evicted. Both have
//     hysteresis, and evictions have a budget.
//  3. Queued tasks are placed by rank, urgency, fair share and age. Each goes
//     to the worker with room for it at which the predicted cost is lowest:
//     slowdown of latency-critical tasks against their targets, slowdown of
//     batch, room that would be left unusable, and the spread over racks.
//
// A batch task that would push a latency-critical one over its target waits
// for a while for a better place. An urgent task without room has batch tasks
// of higher rank number evicted and claims what they leave. A task that has
// waited long gets a reservation on the worker that is expected to have room
// for it first; others use that room only if they are expected to end before.
//
// Everything is decided from what the workers report late: effects between
// templates (dotterinterference), sizes and run times (dottersize), failures
// (dotterblame). Knowledge of templates may be shared by all Placers of a
// process.
package dotterplacer
