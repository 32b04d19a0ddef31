// Package dotteradmission decides which submissions are refused under overload.
//
// The load that it handles is a burst of several times what the workers can do. Without
// refusals, jobs that have missed three times their objective wait behind all others until
// the traffic ends, and their callers are not told.
//
// The owner of a shard has a Meter. It measures, for each lane of tasks that compete for the
// same room, how much work is done per second while the lane has a backlog, and returns an
// outlook that is published with the shard's vacancy. A host calls Decide with the outlooks of
// the live shards, their ages and the job. A job is refused only if no shard could end it
// within UsefulFactor times its objective, even if no other job were submitted from now on.
// Whatever is missing, stale or implausible leads to acceptance.
//
// A RetrySchedule computes when refused callers are to try again, so that they return spread
// and in the order in which they were refused.
package dotteradmission
