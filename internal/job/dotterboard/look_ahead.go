package dotterboard

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

const (
	// largeFactor is how many times the average quick task a task must be to get a reservation:
	// smaller ones fit as soon as one quick task ends.
	largeFactor = 2
	// reservedWorkersDivisor sets the fraction of a service's open workers that may have a
	// reservation, at least one. Quick tasks wait for the room that is withheld for larger ones.
	reservedWorkersDivisor = 16
	// restartWorkersDivisor is the same for reservations of lost long-running tasks.
	restartWorkersDivisor = 8
	// restartSearchInterval is the shortest time between two searches of a service's workers for
	// room for lost tasks: each predicts the ends of all runs there.
	restartSearchInterval = 100 * dotterclock.Millisecond
	// maxWithheld is how long a new long-running task may be held back by reservations after its
	// job's release. Its users give it up after 3 s beside room for it.
	maxWithheld = 2 * dotterclock.Second
	// maxReservationLines bounds the log lines on reservations in reservationLogInterval.
	maxReservationLines    = 20
	reservationLogInterval = dotterclock.Second
)

// lookAheadLimits bounds the reservations of a service.
var lookAheadLimits = dotterlookahead.Limits{
	// Half of the 300 ms that a quick job may take beyond 1.5 times its critical path.
	MinWait: 150 * dotterclock.Millisecond,
	// Below the 3 s after which users give up a long-running task that waits beside free room.
	MaxHold: 2 * dotterclock.Second,
	// Waiting steps are planned again every replanInterval at least.
	MaxIdle:        replanInterval + 50*dotterclock.Millisecond,
	FragmentedOnly: true,
}

// lookAhead is the look-ahead of one plan: it withholds room on workers for large tasks that wait.
// A nil lookAhead withholds nothing.
type lookAhead struct {
	plan  *plan
	views map[string]*lookAheadView // by service, those with reservations
	step  *step                     // for which start was computed last
	start dotterlookahead.Candidate

	quickSizes map[string]float64 // by service, where no quick task was placed yet
}

// lookAheadView is the look-ahead plan of a service.
type lookAheadView struct {
	*dotterlookahead.Plan
	book  *dotterlookahead.Book
	index map[*worker]int // in the plan
}

// reservationLog bounds the log lines on reservations.
type reservationLog struct {
	since   dotterclock.Millis
	lines   int
	omitted int
}

// newLookAhead begins the look-ahead of a plan for the steps in their order of placement.
func (p *plan) newLookAhead(candidates []candidate) *lookAhead {
	a := &lookAhead{plan: p, views: map[string]*lookAheadView{}, quickSizes: map[string]float64{}}
	for i, c := range candidates {
		c.step.position = i
	}
	for service, book := range p.board.ahead {
		if !book.Empty() {
			a.begin(service, book, candidates)
		}
	}
	a.report()
	return a
}

// begin creates the view of a service.
func (a *lookAhead) begin(service string, book *dotterlookahead.Book, candidates []candidate) *lookAheadView {
	p := a.plan
	holders := map[dotterlookahead.ID]dotterlookahead.Waiting{}
	if !book.Empty() {
		for _, c := range candidates {
			if s := c.step; s.aheadID != "" {
				holders[s.aheadID] = dotterlookahead.Waiting{Count: s.wanting(), Order: s.position}
			}
		}
	}
	v := &lookAheadView{book: book, index: make(map[*worker]int, len(p.workers[service]))}
	workers := make([]dotterlookahead.Worker, len(p.workers[service]))
	for i, w := range p.workers[service] {
		v.index[w] = i
		workers[i] = dotterlookahead.Worker{
			Name: w.ID, Free: w.free(), Open: p.load(w).open, Reservable: w.faults.allowsTask(p.now) && w.trials == 0,
			Holders: func() []dotterlookahead.Holder { return p.board.holders(p.now, w) },
		}
	}
	v.Plan = book.Begin(p.now, workers, func(id dotterlookahead.ID) dotterlookahead.Waiting { return holders[id] })
	a.views[service] = v
	return v
}

// holders returns the runs that hold room on the worker, in a deterministic order.
func (b *Board) holders(now dotterclock.Millis, w *worker) []dotterlookahead.Holder {
	hs := make([]dotterlookahead.Holder, 0, len(w.runs))
	for _, t := range w.runs {
		end, latest := b.predictEnd(now, t)
		hs = append(hs, dotterlookahead.Holder{Size: t.step.Reserved(), End: end, Latest: latest})
	}
	slices.SortFunc(hs, func(a, b dotterlookahead.Holder) int {
		return cmp.Or(cmp.Compare(a.End, b.End), cmp.Compare(a.Latest, b.Latest),
			cmp.Compare(a.Size.MilliCores, b.Size.MilliCores), cmp.Compare(a.Size.MemoryMB, b.Size.MemoryMB), cmp.Compare(a.Size.Accelerators, b.Size.Accelerators))
	})
	return hs
}

// lookAheadID returns the name of the step in the book.
func (s *step) lookAheadID() dotterlookahead.ID {
	if s.aheadID == "" {
		s.aheadID = dotterlookahead.ID(fmt.Sprintf("%s/%d/%d", s.occurrence.job.ID, s.occurrence.number, s.number))
	}
	return s.aheadID
}

// withholds reports whether the worker's free room is withheld from the tasks of the step.
func (a *lookAhead) withholds(w *worker, s *step) bool {
	if a == nil || len(a.views) == 0 || s.Fills {
		return false
	}
	v, ok := a.views[w.Service]
	if !ok || v.book.Empty() {
		return false
	}
	if a.step != s {
		a.step, a.start = s, a.candidate(s)
	}
	return v.Withholds(v.index[w], a.start)
}

// candidate describes a task of the step that would start now.
func (a *lookAhead) candidate(s *step) dotterlookahead.Candidate {
	latest := dotterlookahead.Never
	if !s.LongRunning && s.Estimate > 0 {
		latest = a.plan.now + a.plan.board.predictRunTime(s).late()
	}
	return dotterlookahead.Candidate{
		ID: s.aheadID, Size: s.Reserved(), Order: s.position, Latest: latest, Exempt: a.isExempt(s),
	}
}

// isExempt reports whether the step is not held back by reservations: it fills, or is a long-running one
// that has waited for maxWithheld since its job's release, which is stored, or restarts.
func (a *lookAhead) isExempt(s *step) bool {
	if !s.LongRunning {
		return s.Fills
	}
	return a.plan.now-s.occurrence.releaseTime(a.plan.wall, a.plan.now) >= maxWithheld ||
		slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase == waiting && t.run > 0 })
}

// placed takes the room of a task that was just bound.
func (a *lookAhead) placed(t *task, w *worker) {
	if a == nil {
		return
	}
	if v, ok := a.views[w.Service]; ok {
		v.Place(v.index[w], t.step.aheadID, t.step.Reserved(), t.step.wanting())
	}
}

// wanting returns the number of the step's tasks for which room may be reserved: of a long-running
// step those that have run before.
func (s *step) wanting() int {
	if !s.LongRunning {
		return s.waiting
	}
	return s.restartsWaiting()
}

// wantsRoom reports whether room is reserved for tasks of the step that find no worker: lost
// long-running ones and, if the settings ask for it, large ones.
func (a *lookAhead) wantsRoom(s *step) bool {
	switch {
	case s.waiting == 0 || s.Fills || s.Gang:
		return false
	case s.LongRunning:
		return a.plan.isOverdue(s)
	}
	return a.plan.board.settings.LookAhead && a.plan.now-s.waitingSince >= lookAheadLimits.MinWait && a.isLarge(s)
}

// reserve reserves room for the tasks of the step that found no worker, if it wants any and is of
// use when it starts.
func (a *lookAhead) reserve(s *step) {
	if a == nil || !a.wantsRoom(s) {
		return
	}
	p := a.plan
	j := s.occurrence.job
	if j.leaving || j.outcome != "" || p.board.excluded[j.ID] {
		return
	}
	service := j.queue.Service
	book, ok := p.board.ahead[service]
	if !ok {
		book = dotterlookahead.NewBook(lookAheadLimits)
		p.board.ahead[service] = book
	}
	if s.LongRunning && !a.maySearch(service) {
		return
	}
	divisor, startBy := restartWorkersDivisor, dotterlookahead.Never
	if !s.LongRunning {
		divisor, startBy = reservedWorkersDivisor, a.startBy(s)
	}
	limit := a.maxReservations(service, divisor)
	if book.Reserved() >= limit {
		return
	}
	v, ok := a.views[service]
	if !ok {
		v = a.begin(service, book, p.all)
	}
	v.Reserve(dotterlookahead.Request{
		ID: s.lookAheadID(), Size: s.Reserved(), Count: min(s.wanting(), p.left), Order: s.position, Since: s.waitingSince,
		StartBy: startBy, Max: limit, Urgent: s.LongRunning,
		Allowed: func(i int) bool {
			return p.obstacle(p.load(p.workers[service][i]), s, dotterroom.Room{}) == noObstacle
		},
	})
	a.step = nil // its description may have changed
	a.report()
}

// maySearch reports whether this plan may search the service's workers for room for lost tasks.
func (a *lookAhead) maySearch(service string) bool {
	b, now := a.plan.board, a.plan.now
	if at, ok := b.searchedAt[service]; ok && at != now && now-at < restartSearchInterval {
		return false
	}
	b.searchedAt[service] = now
	return true
}

// isLarge reports whether the tasks of the step need several times the room of a quick one.
func (a *lookAhead) isLarge(s *step) bool {
	quick := a.quickSize(s.occurrence.job.queue.Service)
	return quick > 0 && float64(s.Reserved().MilliCores) >= largeFactor*quick
}

// quickSize returns the average size of the service's quick tasks, in thousandths of a core: of those that were
// placed lately or, after a takeover, of those that are found running. It is 0 if there is none.
func (a *lookAhead) quickSize(service string) float64 {
	if k, ok := a.plan.board.kept[service]; ok && k.quickSize > 0 {
		return k.quickSize
	}
	if size, ok := a.quickSizes[service]; ok {
		return size
	}
	sum, n := int64(0), int64(0)
	for _, w := range a.plan.workers[service] {
		for _, t := range w.runs {
			if !t.step.LongRunning && !t.step.Fills {
				sum, n = sum+t.step.Size.MilliCores, n+1
			}
		}
	}
	a.quickSizes[service] = float64(sum) / float64(max(1, n))
	return a.quickSizes[service]
}

// maxReservations returns the largest number of reservations of a service, a part of its open workers.
func (a *lookAhead) maxReservations(service string, divisor int) int {
	open := 0
	for _, w := range a.plan.workers[service] {
		if a.plan.load(w).open {
			open++
		}
	}
	return max(1, open/divisor)
}

// startBy returns the instant by which the step must start to end in time or, if it is late already, to
// be of use.
func (a *lookAhead) startBy(s *step) dotterclock.Millis {
	p := a.plan
	objective := s.occurrence.objective(p.wall, p.now)
	end := objective
	if p.timelinessOf(s, objective) != onTime {
		begin := s.occurrence.releaseTime(p.wall, p.now)
		end = begin + usefulFactor*(objective-begin)
	}
	return end - dotterclock.Millis(minEstimateFraction*float64(s.remainingPath))
}

// aheadKey tells steps apart that reservations treat differently; see blockedKey. Of two steps of one
// size only the one with the shorter run time may fit before a reservation.
type aheadKey struct {
	runClass int // binary class of the run time
	exempt   bool
}

// keyOf returns the key of a step, whose tasks find no worker if another of the same key has found none.
func (p *plan) keyOf(s *step) blockedKey {
	k := keyOf(s)
	a := p.ahead
	if a == nil || s.Fills {
		return k
	}
	v, ok := a.views[s.occurrence.job.queue.Service]
	if !ok || v.book.Empty() {
		return k
	}
	if s.aheadID != "" && v.book.Holds(s.aheadID) {
		k.exclusive = s
		return k
	}
	k.ahead = aheadKey{exempt: a.isExempt(s)}
	if !s.LongRunning {
		k.ahead.runClass = 1 + bits.Len64(uint64(p.board.predictRunTime(s).late()))
	}
	return k
}

// report counts and logs the changes of reservations.
func (a *lookAhead) report() {
	b := a.plan.board
	for service, book := range b.ahead {
		for _, e := range book.TakeEvents() {
			b.counters.Reservations[e.Outcome]++
			b.logReservation(a.plan.now, service, book.Reserved(), e)
		}
	}
}

// logReservation logs a change of a reservation, at most maxReservationLines in
// reservationLogInterval.
func (b *Board) logReservation(now dotterclock.Millis, service string, reserved int, e dotterlookahead.Event) {
	l := &b.aheadLog
	if now-l.since >= reservationLogInterval {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxReservationLines {
		l.omitted++
		return
	}
	r := e.Reservation
	b.logger.Info("room reserved for a large task", zap.String("Outcome", string(e.Outcome)), zap.String("Step", string(r.ID)),
		zap.String("Service", service), zap.String("Worker", r.Worker), zap.String("Size", r.Size.String()),
		zap.Int64("HeldMs", int64(now-r.MadeAt)), zap.Int64("AvailableInMs", int64(r.AvailableAt-now)),
		zap.Int64("ExpiresInMs", int64(r.Until-now)), zap.Int("Reservations", reserved), zap.Int("LinesOmitted", l.omitted))
	l.lines++
	l.omitted = 0
}
