package dotterboard

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// keptFraction is the fraction of a service's processor time that is kept from new
	// long-running tasks while quick ones use it. Long-running tasks would take each gap for
	// good, and quick tasks could not start until some of them end.
	keptFraction = 0.1
	// keptWindow is how long kept room must have been free without a break before long-running
	// tasks get it. Users give a long-running task up that waits for 3 s beside room for it.
	keptWindow = 2500 * dotterclock.Millisecond
	// keptBuckets divide keptWindow.
	keptBuckets = 10
	// offeredBuckets is the number of the newest buckets in which kept room must have been
	// free before it is offered to other shards, whose tasks arrive some time later.
	offeredBuckets = 4
	// minSpareSlots is how many slots must have been free for a long-running task to get one.
	minSpareSlots = 2
	// quickMemory is how long after the last quick task room is kept for more.
	quickMemory = 5 * dotterclock.Second
	// quickSizeWeight is the weight of a quick task's size in the moving average.
	quickSizeWeight = 0.02
)

// keptRoom follows the free room of a service, counted in slots of the size of a quick task,
// to tell how much of it quick tasks leave unused. Slots that they have used within
// keptWindow stay free for them; the others are given back. Free room on a worker that
// is smaller than a quick task is no slot, so long-running tasks may take it.
type keptRoom struct {
	since    dotterclock.Millis // of the first observation
	capacity int64              // processor time of the open workers, in thousandths of a core
	slots    int                // that are free now
	part     int64              // number of the window's newest part, counted from time 0
	fewest   [keptBuckets]int   // free slots at least, by part modulo keptBuckets

	quickSize   float64            // average size of quick tasks, in thousandths of a core
	quickSeenAt dotterclock.Millis // when the last quick task was placed; 0: never
}

// newKeptRoom returns the room of a service that is observed from now on.
func newKeptRoom(now dotterclock.Millis) *keptRoom {
	return &keptRoom{since: now, part: keptPart(now)}
}

// keptPart returns the number of the part of the window that contains now.
func keptPart(now dotterclock.Millis) int64 {
	return int64(now / (keptWindow / keptBuckets))
}

// observe records the present state of the service.
func (k *keptRoom) observe(now dotterclock.Millis, capacity int64, slots int) {
	for part := max(k.part+1, keptPart(now)-keptBuckets); part <= keptPart(now); part++ {
		k.fewest[part%keptBuckets] = k.slots // nothing has changed since the last observation
	}
	k.part = max(k.part, keptPart(now))
	k.capacity, k.slots = capacity, slots
	k.fewest[k.part%keptBuckets] = min(k.fewest[k.part%keptBuckets], slots)
}

// placed records that a task was placed on a worker with the given free processor time.
func (k *keptRoom) placed(now dotterclock.Millis, t *task, free int64) {
	size := t.step.Size.MilliCores
	if !t.step.LongRunning && size > 0 {
		if k.quickSize == 0 {
			k.quickSize = float64(size)
		}
		k.quickSize += quickSizeWeight * (float64(size) - k.quickSize)
		k.quickSeenAt = now
	}
	k.observe(now, k.capacity, k.slots-k.slotsIn(free)+k.slotsIn(free-size))
}

// slotsIn returns how many quick tasks fit into the free processor time of one worker.
func (k *keptRoom) slotsIn(free int64) int {
	return int(max(0, free) / max(1, int64(k.quickSize)))
}

// spare returns how many slots were free during all of the window.
func (k *keptRoom) spare(now dotterclock.Millis) int {
	if now-k.since < keptWindow {
		return 0
	}
	return min(k.slots, slices.Min(k.fewest[:]))
}

// offered returns how many slots were free during the newest part of the window.
func (k *keptRoom) offered() int {
	fewest := k.slots
	for i := range int64(offeredBuckets) {
		fewest = min(fewest, k.fewest[(k.part-i)%keptBuckets])
	}
	return fewest
}

// wanted returns the number of slots that are kept for quick tasks.
func (k *keptRoom) wanted(now dotterclock.Millis) int {
	if k.quickSeenAt == 0 || now-k.quickSeenAt > quickMemory {
		return 0
	}
	return int(keptFraction * float64(k.capacity) / k.quickSize)
}

// allows reports whether a new long-running task may be placed on a worker with the given
// free processor time.
func (k *keptRoom) allows(now dotterclock.Millis, size, free int64) bool {
	taken := k.slotsIn(free) - k.slotsIn(free-size)
	return taken == 0 || k.slots-taken >= k.wanted(now) || k.spare(now) >= minSpareSlots
}

// newSlots returns how many slots new long-running tasks of other shards may take soon.
func (k *keptRoom) newSlots(now dotterclock.Millis) int {
	return max(0, k.slots-k.wanted(now), k.offered())
}

// observeKeptRoom records the present state of each service.
func (b *Board) observeKeptRoom(now dotterclock.Millis) {
	type state struct {
		capacity int64
		slots    int
	}
	states := map[string]state{}
	for _, w := range b.workersByID {
		if w.Service == "" || !b.isOpen(now, w) {
			continue
		}
		k, ok := b.kept[w.Service]
		if !ok {
			k = newKeptRoom(now)
			b.kept[w.Service] = k
		}
		s := states[w.Service]
		s.capacity += w.Capacity.MilliCores
		s.slots += k.slotsIn(w.free().MilliCores)
		states[w.Service] = s
	}
	for service, s := range states {
		b.kept[service].observe(now, s.capacity, s.slots)
	}
}

// keepsRoomFrom reports whether the task, which would be new on any worker, has to leave the
// worker's free room to quick tasks. A task that has run before is restarted in any room.
func (p *plan) keepsRoomFrom(t *task, w *worker) bool {
	if !t.step.LongRunning || t.step.Fills || t.run > 0 {
		return false
	}
	k, ok := p.board.kept[w.Service]
	return ok && !k.allows(p.now, t.step.Size.MilliCores, w.free().MilliCores)
}
