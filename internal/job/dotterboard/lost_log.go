package dotterboard

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// lostLogDelay is how long a long-running task that has run before waits before it is logged.
	// Users miss such a task 6 s after its last run, or 3 s beside room for it.
	lostLogDelay = 3 * dotterclock.Second
	// lostCheckInterval is how often waiting tasks are checked for it.
	lostCheckInterval = 200 * dotterclock.Millisecond
	// lostRoomInterval is the shortest time between two log lines on the room of a service.
	lostRoomInterval = dotterclock.Second
	// maxLoggedPeers bounds the shards in a line on a lost task.
	maxLoggedPeers = 8
)

// lostLog bounds the log lines on lost tasks: long-running ones that wait and have run before, or may
// have.
type lostLog struct {
	checkedAt       dotterclock.Millis
	waits, restarts lineBound
	omittedRestarts int                           // since the last line on a restart
	roomAt          map[string]dotterclock.Millis // by service: when its room was last logged
}

// noteReleased records that a run of the task is over. A start that was dropped or refused is none.
func (t *task) noteReleased(now dotterclock.Millis, result dotteraccount.Result) {
	switch {
	case !t.step.LongRunning || result == dotteraccount.Dropped:
	case t.lostAt == 0 || result != dotteraccount.Lost:
		t.noteLost(now)
	}
}

// noteLost records that the task waits from now on and has run before.
func (t *task) noteLost(now dotterclock.Millis) {
	t.lostAt, t.lostLogged = now, false
}

// noteRecorded records that a task whose progress was read from the store waits from now on, if it
// has run before.
func (t *task) noteRecorded(now dotterclock.Millis) {
	if t.step.LongRunning && t.phase == waiting && t.run > 0 {
		t.noteLost(now)
	}
}

// isLost reports whether the task is a lost one.
func (t *task) isLost() bool {
	return t.phase == waiting && t.lostAt != 0
}

// noteRunsAgain records that the task has a run at work, and logs how long it has waited for it.
func (b *Board) noteRunsAgain(now dotterclock.Millis, t *task) {
	waited := now - t.lostAt
	if t.lostAt == 0 {
		return
	}
	t.lostAt = 0
	if waited < lostLogDelay {
		return
	}
	if b.lostLog.restarts.take(now, 1) == 0 {
		b.lostLog.omittedRestarts++
		return
	}
	b.logger.Warn("lost long-running task restarts", b.runFields(t, zap.String("Size", t.step.Size.String()),
		zap.Int64("WaitedMs", int64(waited)), zap.Int("LinesOmitted", b.lostLog.omittedRestarts))...)
	b.lostLog.omittedRestarts = 0
}

// lostTasks are the lost tasks of a service.
type lostTasks struct {
	waiting int
	size    dotterroom.Room    // of the one that needs the most processor time
	since   dotterclock.Millis // when the oldest was lost
	due     []*task            // those that have waited for lostLogDelay and are not logged
}

// add counts a lost task.
func (l *lostTasks) add(now dotterclock.Millis, t *task) {
	l.waiting++
	if t.step.Size.MilliCores > l.size.MilliCores {
		l.size = t.step.Size
	}
	if l.since == 0 || t.lostAt < l.since {
		l.since = t.lostAt
	}
	if !t.lostLogged && now-t.lostAt >= lostLogDelay {
		l.due = append(l.due, t)
	}
}

// logLost logs lost tasks among the candidates that have waited for lostLogDelay, and the room of each service
// that has lost tasks.
func (p *plan) logLost(candidates []candidate) {
	l := &p.board.lostLog
	if p.now-l.checkedAt < lostCheckInterval {
		return
	}
	l.checkedAt = p.now
	byService := map[string]*lostTasks{}
	for _, c := range candidates {
		s := c.step
		if !s.LongRunning || s.waiting == 0 || s.occurrence.job.leaving || s.occurrence.job.outcome != "" || p.board.excluded[s.occurrence.job.ID] {
			continue
		}
		for _, t := range s.tasks {
			if !t.isLost() {
				continue
			}
			service := s.occurrence.job.queue.Service
			if byService[service] == nil {
				byService[service] = &lostTasks{}
			}
			byService[service].add(p.now, t)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		p.logLostOf(service, byService[service])
	}
}

// logLostOf logs the lost tasks of a service.
func (p *plan) logLostOf(service string, lost *lostTasks) {
	b := p.board
	roomDue := p.now-b.lostLog.roomAt[service] >= lostRoomInterval
	if !roomDue && len(lost.due) == 0 {
		return
	}
	room := b.heldRoom(p.now, service)
	if roomDue {
		b.lostLog.noteRoom(p.now, service)
		level := zapcore.InfoLevel
		if p.now-lost.since >= lostLogDelay {
			level = zapcore.WarnLevel // is not dropped with the many lines of such a time
		}
		b.logger.Log(level, "room while long-running tasks wait", append(room.fields(), zap.String("Service", service), zap.Int("Lost", lost.waiting),
			zap.String("LargestSize", lost.size.String()), zap.Int64("OldestMs", int64(p.now-lost.since)),
			zap.String("Verdict", string(room.verdict(lost.size.MilliCores))))...)
	}
	slices.SortStableFunc(lost.due, func(a, b *task) int { return cmp.Compare(a.lostAt, b.lostAt) })
	n := b.lostLog.waits.take(p.now, len(lost.due)) // the others are logged later, if they still wait
	for _, t := range lost.due[:n] {
		t.lostLogged = true
		p.logLostTask(t, room, len(lost.due)-n)
	}
}

// noteRoom records that the room of the service is logged now.
func (l *lostLog) noteRoom(now dotterclock.Millis, service string) {
	if l.roomAt == nil {
		l.roomAt = map[string]dotterclock.Millis{}
	}
	l.roomAt[service] = now
}

// logLostTask logs a lost task with what its shard and the others have for it.
func (p *plan) logLostTask(t *task, room heldRoom, unlogged int) {
	s := t.step
	j := s.occurrence.job
	peers, omitted := p.roomOfPeers(s)
	p.board.logger.Warn("lost long-running task still waits", append(room.fields(), zap.String("Job", string(j.ID)), zap.String("Task", t.id().String()),
		zap.Int("Run", t.run), zap.String("Size", s.Size.String()), zap.Int64("WaitedMs", int64(p.now-t.lostAt)),
		zap.String("Verdict", string(room.verdict(s.Reserved().MilliCores))), zap.Any("WorkersByObstacle", p.workersByObstacle(s)),
		zap.Bool("HeldByCap", s.heldSince != 0), zap.Int("Outgoing", len(j.outgoing)), zap.Any("Peers", peers), zap.Int("PeersOmitted", omitted),
		zap.Int("LinesOmitted", unlogged))...)
}

// workersByObstacle returns how many workers of the step's service each obstacle rules out for it. Those
// that none rules out count as "None"; whether serving tasks there would exceed their load limit is left out.
func (p *plan) workersByObstacle(s *step) map[string]int {
	counts := map[string]int{}
	for _, w := range p.workers[s.occurrence.job.queue.Service] {
		counts[obstacleNames[p.obstacle(p.uncachedLoad(w), s, s.Reserved())]]++
	}
	return counts
}

// uncachedLoad returns the worker's load as of now. It leaves the cache as it is, so that plans decide as if it had
// not been asked for.
func (p *plan) uncachedLoad(w *worker) *workerLoad {
	cached := w.load
	defer func() { w.load = cached }()
	w.load = nil
	return p.load(w)
}

// peerRoom is what another shard publishes for tasks of a size, less what was handed over since.
type peerRoom struct {
	Shard   string
	Slots   int // how many fit, at least
	Lasting int // how many long-running tasks it would start, of any size
}

// roomOfPeers returns the room of the shards that have workers for the step, the ones with the most first,
// and how many others there are.
func (p *plan) roomOfPeers(s *step) (rooms []peerRoom, omitted int) {
	for _, other := range p.board.peers {
		service := other.services[s.occurrence.job.queue.Service]
		if service.Capacity == 0 || s.Label != "" && !slices.Contains(service.Labels, s.Label) {
			continue
		}
		rooms = append(rooms, peerRoom{Shard: other.shard, Slots: service.SlotsFor(s.Size), Lasting: service.Lasting})
	}
	slices.SortFunc(rooms, func(a, b peerRoom) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(b.Lasting, a.Lasting), cmp.Compare(a.Shard, b.Shard))
	})
	if len(rooms) > maxLoggedPeers {
		omitted = len(rooms) - maxLoggedPeers
		rooms = rooms[:maxLoggedPeers]
	}
	return rooms, omitted
}
