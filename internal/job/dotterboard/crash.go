package dotterboard

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

const (
	// soundAge is the age from which a run is not to blame for a crash of its worker. A task
	// that crashes workers does so as it starts.
	soundAge = 500 * dotterclock.Millisecond
	// inheritedSoundAge is the same for a run of a previous owner on a worker that has not
	// answered this one. It covers the takeover, which may lie between the crash and the
	// first call to the worker.
	inheritedSoundAge = 3 * dotterclock.Second
	// immediateAge is the age up to which a crash is no coincidence. It covers the answer to
	// the start and the pause between two renewals, after which a closed connection is noticed.
	immediateAge = 60 * dotterclock.Millisecond
)

// Weights of a crash as evidence against a task. The platform tolerates five crashes under
// one task.
const (
	immediateWeight = 5 // within immediateAge of the start
	inheritedWeight = 4 // at an unknown time, under a run of a suspect that no owner has found sound
	youngWeight     = 3 // at another time before soundAge, or at an unknown one
	sharedLoss      = 2 // less if workers on which nothing had just started crashed at the same time
	unprovedLoss    = 1 // less if no other incarnation has answered: the worker may be cut off
	// crashLimit is the weight for which a task is given up: three immediate crashes, or five
	// young ones.
	crashLimit = 3 * immediateWeight
	// unrelatedCrashLimit is the same while workers crash under which nothing had just
	// started: four immediate crashes, or two and three young ones.
	unrelatedCrashLimit = 2*immediateWeight + 3*youngWeight
	// maxCrashes is the number of crashes in a row, whatever their weight, after which a task
	// is given up in any case.
	maxCrashes = 5
)

const (
	// coincidenceWindow is the time within which closed connections count as simultaneous.
	coincidenceWindow = 100 * dotterclock.Millisecond
	// minUnrelatedClosures is how many workers without a young run have to close their
	// connections at the same time for a cause outside the tasks.
	minUnrelatedClosures = 2
	// closureRetention is how long closures are remembered. It is longer than it takes to
	// give a task up.
	closureRetention = 60 * dotterclock.Second
)

// Crash is the crash of a worker under a run of a task that had just started there.
type Crash struct {
	Worker    string
	Weight    int  // as evidence against the task
	Unrelated bool `json:",omitempty"` // workers under which nothing had just started crashed lately
}

// crashes are the crashes under runs of a task since the last one that was sound.
type crashes []Crash

// with returns a copy with one more crash.
func (c crashes) with(crash Crash) crashes {
	return append(slices.Clip(slices.Clone(c)), crash)
}

// weight returns the evidence against the task.
func (c crashes) weight() int {
	sum := 0
	for _, crash := range c {
		sum += crash.Weight
	}
	return sum
}

// exhausted reports whether the task is to be given up.
func (c crashes) exhausted() bool {
	return c.weight() >= c.limit() || len(c) >= maxCrashes
}

// limit returns the weight for which the task is given up.
func (c crashes) limit() int {
	if slices.ContainsFunc(c, func(crash Crash) bool { return crash.Unrelated }) {
		return unrelatedCrashLimit
	}
	return crashLimit
}

// String returns the IDs of the workers.
func (c crashes) String() string {
	var ids []string
	for _, crash := range c {
		ids = append(ids, crash.Worker)
	}
	return strings.Join(ids, ", ")
}

// closure records that a worker closed its connections.
type closure struct {
	worker    string
	at        dotterclock.Millis
	unrelated bool // none of the worker's runs had just started
}

// markCrashed releases a task whose run ended with its worker, counts the crash against the task
// if the run was young, and fails its job if that exhausts the task. reason is logged.
func (b *Board) markCrashed(now dotterclock.Millis, w *worker, t *task, proved bool, reason string) {
	b.recordCrash(now, w, t, proved)
	b.markLost(now, t, reason)
	b.giveUpIfExhausted(now, t)
}

// isSuspect reports whether a worker has crashed under the task and no run has been sound
// since.
func (t *task) isSuspect() bool {
	return len(t.crashes) > 0
}

// needsTrial reports whether the task's next run starts on trial: nothing else starts on its
// worker until it is sound, so that a crash tells which task caused it.
func (t *task) needsTrial() bool {
	return t.crashes.weight() >= youngWeight-unprovedLoss
}

// isYoung reports whether the run may have reached the worker and nothing shows that it was
// at work there for soundAge.
func (t *task) isYoung(w *worker) bool {
	switch {
	case t.sentAt == 0:
		return false
	case t.isUnseen(w):
		// A suspect that had become sound would have been cleared.
		return t.isSuspect() || t.inheritedWeight > 0 || w.unansweredSince != 0 && w.unansweredSince-t.sentAt < inheritedSoundAge
	}
	return t.atWorkSince == 0 || w.aliveAt()-t.atWorkSince < soundAge
}

// isUnseen reports whether this owner knows nothing of the run but its binding.
func (t *task) isUnseen(w *worker) bool {
	return t.phase == inherited && !w.contacted
}

// crashWeight returns the weight of a proved crash of the worker as evidence against the task,
// whose run is young.
func (b *Board) crashWeight(w *worker, t *task) int {
	weight := youngWeight
	switch {
	case t.isUnseen(w) && t.inheritedWeight > 0:
		return t.inheritedWeight
	case t.isUnseen(w) && t.isSuspect():
		weight = inheritedWeight
	case !t.isUnseen(w) && w.closedAt != 0 && w.closedAt-max(t.sentAt, t.atWorkSince) <= immediateAge:
		weight = immediateWeight
	}
	if _, together := b.unrelatedClosures(w); together >= minUnrelatedClosures {
		weight -= sharedLoss
	}
	return weight
}

// aliveAt returns the last instant at which the worker is known to have run.
func (w *worker) aliveAt() dotterclock.Millis {
	return max(w.heardAt, w.closedAt)
}

// beginTrial is called when a task is bound to the worker.
func (w *worker) beginTrial(t *task) {
	if t.needsTrial() {
		t.onTrial = true
		w.trials++
	}
}

// endTrial is called when the run is sound or over.
func (w *worker) endTrial(t *task) {
	if t.onTrial {
		t.onTrial = false
		w.trials--
	}
}

// noteClosed records that a worker closed its connections. Its young runs are stored again,
// with the weight that the crash will have once it is proved, perhaps to a successor.
func (b *Board) noteClosed(now dotterclock.Millis, w *worker) {
	w.closedAt = now
	switch {
	case w.Draining:
		return // as announced
	case !w.contacted:
		b.noteClosedUnseen(now, w)
		return
	}
	unrelated := true
	for _, t := range w.runs {
		if t.isYoung(w) {
			unrelated = false
			b.markTask(t)
		}
	}
	b.closures = slices.DeleteFunc(b.closures, func(c closure) bool { return now-c.at > closureRetention })
	b.closures = append(b.closures, closure{w.ID, now, unrelated})
}

// noteClosedUnseen is noteClosed for a worker that has not answered this owner, so that it closed its
// connections at an unknown time. Its young runs may be too old to be to blame by the time a
// successor proves the crash.
func (b *Board) noteClosedUnseen(now dotterclock.Millis, w *worker) {
	for _, t := range w.runs {
		if t.isUnseen(w) && t.inheritedWeight == 0 && t.sentAt != 0 && now-t.sentAt < inheritedSoundAge {
			t.inheritedWeight = youngWeight
			if t.isSuspect() {
				t.inheritedWeight = inheritedWeight
			}
			b.markTask(t)
		}
	}
}

// pendingWeight returns the weight of the worker's crash for a successor's use, or 0 if the
// worker is not known to have crashed or the run was sound.
func (b *Board) pendingWeight(t *task) int {
	w := t.worker
	switch {
	case t.isUnseen(w):
		return t.inheritedWeight
	case w.closedAt == 0 || w.Draining || !t.isYoung(w):
		return 0
	}
	return b.crashWeight(w, t)
}

// noteReopened forgets the closure of a worker that has not crashed.
func (b *Board) noteReopened(w *worker) {
	if w.closedAt != 0 {
		b.closures = slices.DeleteFunc(b.closures, func(c closure) bool { return c.worker == w.ID })
		w.closedAt = 0
	}
}

// unrelatedClosures returns how many workers on which nothing had just started closed their
// connections, in all and together with this one.
func (b *Board) unrelatedClosures(w *worker) (all, together int) {
	for _, c := range b.closures {
		if !c.unrelated {
			continue
		}
		all++
		if w.contacted && max(c.at-w.closedAt, w.closedAt-c.at) <= coincidenceWindow {
			together++
		}
	}
	return all, together
}

// recordCrash counts the end of the worker against the task, once a run, unless the run was
// sound or the worker was draining.
func (b *Board) recordCrash(now dotterclock.Millis, w *worker, t *task, proved bool) {
	j := t.job()
	if t.crashedRun == t.run || j.outcome != "" || !t.isYoung(w) {
		return
	}
	t.crashedRun = t.run
	all, together := b.unrelatedClosures(w)
	weight := 0
	if !w.Draining {
		weight = b.crashWeight(w, t)
		if !proved {
			weight -= unprovedLoss
		}
		t.crashes = t.crashes.with(Crash{Worker: w.ID, Weight: weight, Unrelated: all > 0})
		b.counters.Crashes++
		b.markTask(t)
	}
	level := zap.InfoLevel
	if t.needsTrial() {
		level = zap.WarnLevel
	}
	b.logger.Log(level, "worker crashed under a starting run", b.runFields(t, zap.Int("Weight", weight), zap.Int("SumOfWeights", t.crashes.weight()),
		zap.Int("Limit", t.crashes.limit()), zap.Bool("Proved", proved), zap.Int64("SentMsBefore", int64(w.aliveAt()-t.sentAt)), zap.Bool("Inherited", t.isUnseen(w)),
		zap.Bool("Draining", w.Draining), zap.Int("UnrelatedCrashes", all), zap.Int("AtTheSameTime", together), zap.String("Workers", t.crashes.String()))...)
}

// giveUpIfExhausted fails the task's job if enough workers have crashed under the task.
func (b *Board) giveUpIfExhausted(now dotterclock.Millis, t *task) {
	if j := t.job(); j.outcome == "" && t.crashes.exhausted() {
		b.finish(now, j, dotterjob.Failed, "task "+t.id().String()+" crashed the workers "+t.crashes.String()+" as it started")
	}
}

// clearIfSound forgets the crashes under earlier runs of the task once a run is sound.
func (b *Board) clearIfSound(t *task) {
	if !t.isSuspect() || t.isYoung(t.worker) {
		return
	}
	b.logger.Info("suspect cleared", b.runFields(t, zap.String("Workers", t.crashes.String()))...)
	t.crashes = nil
	t.worker.endTrial(t)
	b.markDirty(t.job())
	b.notify()
}
