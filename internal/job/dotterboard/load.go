package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// unmeasuredUse is the fraction of its declared processor time that a task which does not
	// serve is assumed to use before it is measured: tasks declare up to half more than they
	// use.
	unmeasuredUse = 0.85
	// maxLoadAge is the age up to which a worker's load is cached if nothing has changed on
	// it: recently started tasks may have settled by then.
	maxLoadAge = settleDelay / 2
	// imageAffinity is the weight of serving tasks of the same image in affinity. Those of
	// the same step count 1, as their load rises and falls together.
	imageAffinity = 0.6
	// placementHorizon is how far ahead the load of serving tasks is predicted when a
	// filling task is placed. Most filling tasks take one or two seconds, and they can be
	// moved later.
	placementHorizon = 1200 * dotterclock.Millisecond
)

// workerLoad is the view of a worker that placement uses. It is cached until something
// changes on the worker.
type workerLoad struct {
	worker    *worker
	at        dotterclock.Millis
	open      bool          // the worker accepts starts; see Board.isOpen
	used      int64         // estimated processor time that its runs use, in thousandths of a core
	serving   []*task       // latency-critical tasks
	filling   []*task       // tasks that use the processor time left over
	unsettled bool          // the effect of a filling task does not show in the readings yet
	present   []presentLoad // of each serving task; nil: not computed yet
}

// presentLoad is the predicted load of a serving task beside the filling tasks already there.
type presentLoad struct {
	load     float64
	variance float64 // of load, due to those filling tasks
}

// loadOf returns the worker's load, from the cache if it is current.
func (b *Board) loadOf(now dotterclock.Millis, w *worker) *workerLoad {
	if l := w.load; l != nil && now-l.at < maxLoadAge {
		return l
	}
	l := &workerLoad{worker: w, at: now}
	for _, t := range w.runs {
		l.used += cpuUse(now, t)
		switch {
		case t.step.Serves():
			l.serving = append(l.serving, t)
		case t.step.Fills:
			l.filling = append(l.filling, t)
			l.unsettled = l.unsettled || t.phase != running || now-t.startedAt < 2*settleDelay
		}
	}
	w.load = l
	return l
}

// cpuUse returns the estimated processor time that a run uses, in thousandths of a core.
func cpuUse(now dotterclock.Millis, t *task) int64 {
	size := float64(t.step.Size.MilliCores)
	if t.step.Serves() {
		return int64(t.ownLoad(now, now+placementHorizon) * size) // serving tasks declare their peak
	}
	if t.phase == running && now-t.startedAt > settleDelay && t.pace == 100 && float64(t.used) > size/2 {
		return t.used
	}
	return int64(unmeasuredUse * size * float64(t.paceWanted) / 100)
}

// unusedCPU returns the processor time that is estimated to be unused, in thousandths of
// a core.
func (l *workerLoad) unusedCPU() int64 {
	return l.worker.Capacity.MilliCores - l.used
}

// affinity returns how much of the declared processor time of the worker's serving tasks
// shares its users with the step. Tasks of the same step count in full, those of its
// image in part, and all others are subtracted.
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

// presentLoads returns the predicted load of each serving task on the worker. It is computed
// once for all steps that are considered for the worker.
func (b *Board) presentLoads(now dotterclock.Millis, l *workerLoad) []presentLoad {
	if l.present != nil {
		return l.present
	}
	shares := make([]float64, len(l.filling))
	for i, t := range l.filling {
		shares[i] = cpuShare(now, l.worker, t)
	}
	l.present = make([]presentLoad, len(l.serving))
	for i, victim := range l.serving {
		present := presentLoad{load: victim.ownLoad(now, now+placementHorizon)}
		for k, t := range l.filling {
			added := b.slope(now, victim.step, t.step).Mean * shares[k]
			present.load += added
			present.variance += square(interferenceVariation * added)
		}
		l.present[i] = present
	}
	return l.present
}

// predictPeakLoad returns the highest load, one standard deviation above the mean, that
// any serving task on the worker is predicted to have beside one more task of the step,
// and the standard deviation of what that task adds.
func (b *Board) predictPeakLoad(now dotterclock.Millis, l *workerLoad, s *step) (highest, deviation float64) {
	share := unmeasuredUse * float64(s.Size.MilliCores) / float64(max(1, l.worker.Capacity.MilliCores))
	for i, p := range b.presentLoads(now, l) {
		slope := b.slope(now, l.serving[i].step, s)
		added := slope.Mean * share
		highest = max(highest, p.load+added+math.Sqrt(p.variance+square(interferenceVariation*added)))
		deviation = max(deviation, slope.Deviation*share)
	}
	return highest, deviation
}

// predictAddedLoad returns the load that the filling tasks on the worker are predicted
// to add to a serving task of the step.
func (b *Board) predictAddedLoad(now dotterclock.Millis, l *workerLoad, s *step) float64 {
	sum := 0.0
	for _, t := range l.filling {
		sum += b.slope(now, s, t.step).Mean * cpuShare(now, l.worker, t)
	}
	return sum
}

func square(x float64) float64 {
	return x * x
}
