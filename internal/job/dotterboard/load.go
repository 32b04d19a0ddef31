package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// unmeasuredUse is the part of its declared processor time that any other task is
	// taken to use before it was measured: they declare up to half more than they use.
	unmeasuredUse = 0.85
	// loadKept is how long a load is kept though nothing has changed on the worker:
	// until what began lately may have settled.
	loadKept = settleSpan / 2
	// imageAffinity is the weight of serving tasks of the same image against those of the
	// same step, whose load rises and falls together.
	imageAffinity = 0.6
	// pressSpan is how far ahead a filling task is held against the loads of serving
	// ones: most take one or two seconds, and can move later.
	pressSpan = 1200 * dotterclock.Millisecond
)

// workerLoad is what a plan needs to know of a worker. It is kept until something changes
// on the worker.
type workerLoad struct {
	worker    *worker
	at        dotterclock.Millis
	open      bool    // tasks may start there, as far as that does not depend on the task
	used      int64   // processor time that its runs are taken to use, thousandths of a core
	serving   []*task // that answer users
	filling   []*task // that use what is left over
	unsettled bool    // one of them began so lately that its effect does not show yet
	presses   map[string][]press
}

// press is what a filling image does to one serving task.
type press struct {
	load  float64 // of the serving task, as predicted beside what is there
	swing float64 // variance of load, by what is there
	slope float64 // that the image adds for the whole worker
	doubt float64 // deviation of slope
}

// loadOf returns the worker's load, which it computes if something has changed.
func (b *Board) loadOf(now dotterclock.Millis, w *worker) *workerLoad {
	if l := w.load; l != nil && now-l.at < loadKept {
		return l
	}
	l := &workerLoad{worker: w, at: now, presses: map[string][]press{}}
	for _, t := range w.runs {
		l.used += use(now, t)
		switch {
		case t.step.Serves():
			l.serving = append(l.serving, t)
		case t.step.Fills:
			l.filling = append(l.filling, t)
			l.unsettled = l.unsettled || t.phase != running || now-t.startedAt < 2*settleSpan
		}
	}
	w.load = l
	return l
}

// use returns the processor time that a run is taken to use.
func use(now dotterclock.Millis, t *task) int64 {
	size := float64(t.step.Size.MilliCores)
	if t.step.Serves() {
		return int64(t.ownLoad(now, now+pressSpan) * size) // they declare for their peaks
	}
	if t.phase == running && now-t.startedAt > settleSpan && t.pace == 100 && float64(t.used) > size/2 {
		return t.used
	}
	return int64(unmeasuredUse * size * float64(t.paceWanted) / 100)
}

// left returns the processor time that nothing uses.
func (l *workerLoad) left() int64 {
	return l.worker.Capacity.MilliCores - l.used
}

// affinity returns how much of the declared processor time of the worker's serving
// tasks has users in common with the step: those of the same step count in full, those of
// its image in part, and others against it.
func (l *workerLoad) affinity(s *step) float64 {
	sum := 0.0
	for _, t := range l.serving {
		size := float64(t.step.Size.MilliCores)
		switch {
		case t.step == s:
			sum += size
		case t.step.Image == s.Image:
			sum += imageAffinity * size
		default:
			sum -= size
		}
	}
	return sum
}

// pressesOf returns what the step's image does to the serving tasks on the worker.
func (b *Board) pressesOf(now dotterclock.Millis, l *workerLoad, image string) []press {
	ps, ok := l.presses[image]
	if ok {
		return ps
	}
	for _, victim := range l.serving {
		e := b.learned.slope(now, victim, image)
		p := press{load: victim.ownLoad(now, now+pressSpan), slope: e.Mean, doubt: e.Deviation}
		for _, t := range l.filling {
			added := b.learned.slope(now, victim, t.step.Image).Mean * share(now, l.worker, t)
			p.load += added
			p.swing += square(pressVariation * added)
		}
		ps = append(ps, p)
	}
	l.presses[image] = ps
	return ps
}

// pressed returns the highest load that a serving task on the worker may well have
// beside one more task of the step, and how doubtful that is.
func (b *Board) pressed(now dotterclock.Millis, l *workerLoad, s *step) (highest, doubt float64) {
	share := unmeasuredUse * float64(s.Size.MilliCores) / float64(max(1, l.worker.Capacity.MilliCores))
	for _, p := range b.pressesOf(now, l, s.Image) {
		added := p.slope * share
		highest = max(highest, p.load+added+math.Sqrt(p.swing+square(pressVariation*added)))
		doubt = max(doubt, p.doubt*share)
	}
	return highest, doubt
}

// pressedBy returns what the filling tasks on the worker are predicted to add to the
// load of a serving task of the step.
func (b *Board) pressedBy(now dotterclock.Millis, l *workerLoad, s *step) float64 {
	sum := 0.0
	for _, t := range l.filling {
		sum += b.learned.slope(now, s.tasks[0], t.step.Image).Mean * share(now, l.worker, t)
	}
	return sum
}

func square(x float64) float64 {
	return x * x
}
