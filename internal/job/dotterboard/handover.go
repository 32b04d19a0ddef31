package dotterboard

import (
	"maps"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

const (
	// jobHandoverDelay is how long a job of which nothing runs waits for room before it is
	// handed over to a shard that has some. It is some times the age of what other owners
	// have published.
	jobHandoverDelay = 150 * dotterclock.Millisecond
	// fillingHandoverDelay is the same for a job of filling tasks, which wait for unused
	// processor time; that changes within seconds.
	fillingHandoverDelay = 600 * dotterclock.Millisecond
	// longRunningHandoverDelay is the same for the tasks of a long-running step. It leaves most
	// of the seconds within which the users expect such a task to run again.
	longRunningHandoverDelay = 800 * dotterclock.Millisecond
	// partHandoverDelay is how long a job of which nothing runs waits for a shard that can run all
	// waiting tasks of a step. Its users give it up after 3 s beside a service that is mostly idle.
	partHandoverDelay = 1500 * dotterclock.Millisecond
	// maxHandoverDelay bounds the delays, which double with each handover of a job.
	maxHandoverDelay = 3 * dotterclock.Second
	// minFreeSlots is how many tasks of a size must fit into another shard before a
	// long-running one is handed over: others may need the same room.
	minFreeSlots = 2
	// maxHandedOver bounds the tasks of one step that a plan hands over to one shard.
	maxHandedOver = 8
	// maxOutgoing bounds the transfers of one job that wait to be stored.
	maxOutgoing = 4
	// restartHandoverDelay is longRunningHandoverDelay for lost tasks, which are missed already when their
	// loss is known.
	restartHandoverDelay = 300 * dotterclock.Millisecond
	// lastSlotDelay is how long a long-running task waits before it may get the last slot.
	lastSlotDelay = 2 * dotterclock.Second
	// minUnusedDifference is how much larger the unused fraction of another shard's
	// processor time must be before it gets a job of filling tasks. Below it, moving a job
	// evens out less than what has changed since the other shard published it.
	minUnusedDifference = 0.04
	// minReservedDifference is the same for the reserved fraction and long-running tasks.
	minReservedDifference = 0.04
)

// Peer is another shard and what its owner has published.
type Peer struct {
	Shard   string
	Vacancy dottervacancy.Vacancy
	SeenAt  dotterclock.Millis // when this host first saw it, on its own clock
}

// peer is a Peer whose vacancy is reduced by what was handed over since.
type peer struct {
	shard    string
	services map[string]dottervacancy.Service
}

// SetPeers sets the shards to which tasks may be handed over: those whose owners are live
// and whose workers may get tasks.
func (b *Board) SetPeers(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setStandings(peers)
	b.peers = nil
	for _, p := range peers {
		b.peers = append(b.peers, &peer{shard: p.Shard, services: maps.Clone(p.Vacancy.Services)})
	}
}

// Vacancy returns what other hosts need to know of this shard; wall is the time of day.
func (b *Board) Vacancy(now, wall dotterclock.Millis) dottervacancy.Vacancy {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observeKeptRoom(now)
	services := map[string]dottervacancy.Service{}
	for _, w := range b.workersByID {
		if w.Service == "" || !b.isOpen(now, w) {
			continue
		}
		s := services[w.Service]
		s.Capacity += w.Capacity.MilliCores
		s.Reserved += w.reserved.MilliCores
		s.Unused += max(0, b.loadOf(now, w).unusedCPU())
		s.AddFree(w.free())
		s.AddEmptied(b.emptied(now, w))
		for _, label := range w.Labels {
			if i, found := slices.BinarySearch(s.Labels, label); !found {
				s.Labels = slices.Insert(s.Labels, i, label)
			}
		}
		services[w.Service] = s
	}
	for _, j := range b.open {
		s, ok := services[j.queue.Service]
		if !ok {
			continue
		}
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if step.LongRunning && step.waiting > 0 {
					s = s.WithRestarts(step.restartsWaiting(), step.Size)
				}
				switch {
				case step.waiting == 0 || step.heldSince != 0 || !step.ready(wall):
				case step.Fills:
					s.Filling += int64(step.waiting) * step.Size.MilliCores
				default:
					s.Waiting += int64(step.waiting) * step.Size.MilliCores
				}
			}
		}
		services[j.queue.Service] = s
	}
	for name, s := range services {
		if k, ok := b.kept[name]; ok {
			s.Lasting = k.newSlots(now)
			services[name] = s
		}
	}
	return dottervacancy.Vacancy{Published: true, Services: services, Pending: b.pending(), Tenants: b.publishedTenants(), Outlook: b.outlook(now, wall),
		Held: b.held.Load(), MaxHeld: b.settings.MaxJobBytes}
}

// VacancyWithoutRoom returns what other hosts need to know of the only shard of a platform:
// nobody has a choice of shards. The parameters are those of Vacancy.
func (b *Board) VacancyWithoutRoom(now, wall dotterclock.Millis) dottervacancy.Vacancy {
	b.mu.Lock()
	defer b.mu.Unlock()
	return dottervacancy.Vacancy{Published: true, Pending: b.pending(), Outlook: b.outlook(now, wall), Held: b.held.Load(), MaxHeld: b.settings.MaxJobBytes}
}

// emptied returns the room on the worker that is free or held by tasks that are predicted to end
// while room may be reserved.
func (b *Board) emptied(now dotterclock.Millis, w *worker) dotterroom.Room {
	room := w.free()
	for _, t := range w.runs {
		if end, _ := b.predictEnd(now, t); end <= now+lookAheadLimits.MaxHold {
			room = room.Add(t.step.Reserved())
		}
	}
	return room
}

// restartsHere returns how many of the step's lost tasks, count at most, will find room in this shard. It
// takes that room, so that others for which this is asked in the same plan find less.
func (p *plan) restartsHere(s *step, count int) int {
	found := 0
	for _, w := range p.workers[s.occurrence.job.queue.Service] {
		if found == count {
			break
		}
		if p.obstacle(p.load(w), s, dotterroom.Room{}) != noObstacle {
			continue
		}
		room, ok := p.emptied[w]
		if !ok {
			room = p.board.emptied(p.now, w)
		}
		most := count - found
		if s.PerWorker > 0 {
			most = min(most, s.PerWorker-tasksOnWorker(w, s))
		}
		for ; most > 0 && s.Size.Fits(room); most-- {
			room = room.Sub(s.Size)
			found++
		}
		p.emptied[w] = room
	}
	return found
}

// handOver hands tasks that found no worker over to shards that have room: whole jobs of
// which nothing runs, and single tasks of long-running steps.
func (p *plan) handOver(candidates []candidate) {
	if len(p.board.peers) == 0 {
		return
	}
	if p.seeksPeers = p.now-p.board.soughtPeersAt >= restartSearchInterval; p.seeksPeers {
		p.board.soughtPeersAt = p.now
	}
	for _, c := range candidates {
		s := c.step
		j := s.occurrence.job
		if s.waiting == 0 || j.leaving || p.board.excluded[j.ID] || j.outcome != "" || j.queue.Service == "" || len(j.outgoing) >= maxOutgoing {
			continue
		}
		abandoned := !p.hasOpenWorker(j.queue.Service)
		if s.heldSince != 0 && !abandoned {
			continue // there may be room here
		}
		switch {
		case j.runs == 0 && j.away == 0 && !j.visiting && (!s.LongRunning || s.Gang):
			p.handOverJob(s, abandoned)
		case s.LongRunning && !s.Gang:
			p.handOverRestarts(s, abandoned)
			p.handOverTasks(s, abandoned)
		}
	}
}

// fitsBetterElsewhere hands the step's job over at once if another shard suits it better; it
// reports whether it did. Once some of its tasks run here, the job cannot be handed over
// before they have ended. A job of filling tasks goes where more processor time is unused, one
// of long-running tasks where less is reserved, and any other job if only some of the
// waiting tasks fit here and all of them there.
func (p *plan) fitsBetterElsewhere(s *step, r *ranking) bool {
	j := s.occurrence.job
	if len(p.board.peers) == 0 || j.runs > 0 || j.away > 0 || j.visiting || j.moves > 0 {
		return false
	}
	if s.LongRunning {
		to := p.emptierPeer(s)
		if to == nil {
			return false
		}
		to.reserve(j.queue.Service, s, s.waiting)
		p.board.handOverJob(j, to.shard)
		return true
	}
	if !s.Fills {
		slots := int64(0)
		for _, w := range r.workers {
			slots += w.worker.free().MilliCores / max(1, s.Size.MilliCores)
		}
		if slots == 0 || slots >= int64(s.waiting) {
			return false
		}
	}
	to := p.peerFor(s, s.waiting, false)
	if to == nil {
		return false
	}
	to.reserve(j.queue.Service, s, s.waiting)
	p.board.handOverJob(j, to.shard)
	return true
}

// emptierPeer returns the shard in which the least would be reserved after all tasks of the
// step were placed there, if that is minReservedDifference less than here.
func (p *plan) emptierPeer(s *step) *peer {
	name := s.occurrence.job.queue.Service
	var best *peer
	lowest := p.reservedFraction(name) - minReservedDifference
	for _, candidate := range p.board.peers {
		service := candidate.services[name]
		if service.Capacity == 0 || s.Label != "" && !slices.Contains(service.Labels, s.Label) {
			continue
		}
		wanted := int64(s.waiting) * s.Size.MilliCores
		reserved := float64(service.Reserved+service.Waiting+wanted) / float64(service.Capacity)
		if reserved < lowest && min(service.Lasting, service.SlotsFor(s.Size)) >= s.waiting {
			best, lowest = candidate, reserved
		}
	}
	return best
}

// reservedFraction returns the fraction of the service's processor time in this shard that is
// reserved or declared by waiting tasks.
func (p *plan) reservedFraction(service string) float64 {
	reserved, capacity := int64(0), int64(0)
	for _, w := range p.workers[service] {
		if p.load(w).open {
			reserved, capacity = reserved+w.reserved.MilliCores, capacity+w.Capacity.MilliCores
		}
	}
	for _, c := range p.all {
		if !c.step.Fills && c.step.heldSince == 0 && c.step.occurrence.job.queue.Service == service && !c.step.occurrence.job.leaving {
			reserved += int64(c.step.waiting) * c.step.Size.MilliCores
		}
	}
	return float64(reserved) / float64(max(1, capacity))
}

// hasOpenWorker reports whether any worker of the service accepts starts.
func (p *plan) hasOpenWorker(service string) bool {
	return slices.ContainsFunc(p.workers[service], func(w *worker) bool { return p.load(w).open })
}

// handOverJob hands the step's job over to a shard that can run all the tasks of the step
// that wait, after partHandoverDelay also to one that is mostly idle. If no worker here accepts
// starts, any shard will do.
func (p *plan) handOverJob(s *step, abandoned bool) {
	j := s.occurrence.job
	delay := jobHandoverDelay
	if s.Fills {
		delay = fillingHandoverDelay
	}
	if j.idleSince == 0 || !abandoned && p.now-j.idleSince < min(maxHandoverDelay, delay<<min(j.moves, 8)) {
		return
	}
	to := p.peerFor(s, s.waiting, abandoned)
	if to == nil && p.now-j.idleSince >= partHandoverDelay && !s.Gang {
		to = p.idlePeerFor(s)
	}
	if to == nil {
		return
	}
	to.reserve(j.queue.Service, s, s.waiting)
	p.board.handOverJob(j, to.shard)
}

// idlePeerFor returns the shard with the most room for tasks of the step among those with more than half
// of their processor time left, or nil if there is none.
func (p *plan) idlePeerFor(s *step) *peer {
	var best *peer
	bestRoom := 0.0
	for _, candidate := range p.board.peers {
		service := candidate.services[s.occurrence.job.queue.Service]
		if service.Capacity == 0 || s.Label != "" && !slices.Contains(service.Labels, s.Label) {
			continue
		}
		left := service.Capacity - service.Reserved - service.Waiting
		if s.Fills {
			left = service.Unused - service.Filling
		}
		if room, enough := p.roomAt(service, s, 1); enough && 2*left > service.Capacity && room > bestRoom {
			best, bestRoom = candidate, room
		}
	}
	return best
}

// handOverRestarts hands lost tasks of a long-running step over that will find no room here, as many as half
// of what another shard can take. There they come before the quick tasks, as they do here.
func (p *plan) handOverRestarts(s *step, abandoned bool) {
	service := s.occurrence.job.queue.Service
	count := s.restartsWaiting()
	if count == 0 || !abandoned && (!p.seeksPeers || p.now-s.waitingSince < restartHandoverDelay) {
		return
	}
	if !abandoned && p.now-s.waitingSince < lastSlotDelay {
		count -= p.restartsHere(s, count)
	}
	if count == 0 {
		return
	}
	var to *peer
	most := 0
	for _, candidate := range p.board.peers {
		offer := candidate.services[service]
		if offer.Capacity == 0 || s.Label != "" && !slices.Contains(offer.Labels, s.Label) {
			continue
		}
		if n := offer.RestartsFor(s.Size); to == nil && abandoned || n > most {
			to, most = candidate, n
		}
	}
	if to == nil {
		return
	}
	p.handOverWaiting(s, to, min(count, maxHandedOver, max(1, (most+1)/2)), func(t *task) bool {
		return t.run > 0 && (abandoned || p.now-t.arrivedAt >= min(maxHandoverDelay, restartHandoverDelay<<(2*min(t.moves, 4))))
	})
}

// handOverWaiting hands at most count of the step's waiting tasks over for which include holds.
func (p *plan) handOverWaiting(s *step, to *peer, count int, include func(*task) bool) {
	var tasks []*task
	for i := 0; i < s.Count && len(tasks) < count; i++ {
		if t := s.task(i); t.phase == waiting && include(t) {
			tasks = append(tasks, t)
		}
	}
	if len(tasks) == 0 {
		return
	}
	to.reserve(s.occurrence.job.queue.Service, s, len(tasks))
	p.board.handOverTasks(s.occurrence.job, s, tasks, to.shard)
}

// handOverTasks hands waiting tasks of a long-running step over that have not run before, as many as
// fit into half of another shard's free room.
func (p *plan) handOverTasks(s *step, abandoned bool) {
	if s.waiting == s.restartsWaiting() || !abandoned && p.now-s.waitingSince < longRunningHandoverDelay {
		return
	}
	need := minFreeSlots
	if p.now-s.waitingSince > lastSlotDelay {
		need = 1
	}
	to := p.peerFor(s, need, abandoned)
	if to == nil {
		return
	}
	service := s.occurrence.job.queue.Service
	count := min(maxHandedOver, s.waiting, max(1, min(to.services[service].Lasting, to.services[service].SlotsFor(s.Size))/minFreeSlots))
	p.handOverWaiting(s, to, count, func(t *task) bool { return t.run == 0 })
}

// peerFor returns the shard with the most room for count tasks of the step, or nil if none
// has enough. An abandoned step gets the one with the most room in any case.
func (p *plan) peerFor(s *step, count int, abandoned bool) *peer {
	var best *peer
	bestRoom := -1.0
	for _, candidate := range p.board.peers {
		service := candidate.services[s.occurrence.job.queue.Service]
		if service.Capacity == 0 || s.Label != "" && !slices.Contains(service.Labels, s.Label) {
			continue
		}
		room, enough := p.roomAt(service, s, count)
		if (enough || abandoned) && room > bestRoom {
			best, bestRoom = candidate, room
		}
	}
	return best
}

// roomAt returns the fraction of a service's processor time in another shard that is left
// for filling tasks after count of the step's were placed, or that the step could have if
// it does not fill; and whether the count of tasks fits.
func (p *plan) roomAt(service dottervacancy.Service, s *step, count int) (fraction float64, enough bool) {
	capacity := float64(service.Capacity)
	if s.Fills {
		left := service.Unused - service.Filling - int64(count)*s.Size.MilliCores
		fraction = float64(left) / capacity
		return fraction, left >= 0 && fraction > p.unusedFraction(s.occurrence.job.queue.Service)+minUnusedDifference
	}
	slots := service.SlotsFor(s.Size)
	if s.LongRunning {
		slots = min(slots, service.Lasting)
	}
	return float64(int64(slots)*s.Size.MilliCores) / capacity, slots >= count
}

// unusedFraction returns the unused fraction of the service's processor time in this shard,
// less what waiting filling tasks declare.
func (p *plan) unusedFraction(service string) float64 {
	if fraction, ok := p.unused[service]; ok {
		return fraction
	}
	unused, capacity := int64(0), int64(0)
	for _, w := range p.workers[service] {
		if l := p.load(w); l.open {
			unused, capacity = unused+max(0, l.unusedCPU()), capacity+w.Capacity.MilliCores
		}
	}
	unused -= p.waitingFilling(service)
	p.unused[service] = float64(unused) / float64(max(1, capacity))
	return p.unused[service]
}

// waitingFilling returns the processor time that waiting filling tasks of the service declare.
func (p *plan) waitingFilling(service string) int64 {
	sum := int64(0)
	for _, c := range p.all {
		if c.step.Fills && c.step.heldSince == 0 && c.step.occurrence.job.queue.Service == service && !c.step.occurrence.job.leaving {
			sum += int64(c.step.waiting) * c.step.Size.MilliCores
		}
	}
	return sum
}

// reserve reduces the room of the peer by count tasks of the step.
func (p *peer) reserve(service string, s *step, count int) {
	if s.Fills {
		v := p.services[service]
		v.Filling += int64(count) * s.Size.MilliCores
		p.services[service] = v
		return
	}
	v := p.services[service].WithReserved(count, s.Size)
	if s.LongRunning {
		v.Lasting = max(0, v.Lasting-count)
	}
	p.services[service] = v
}
