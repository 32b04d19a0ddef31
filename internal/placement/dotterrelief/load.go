package dotterrelief

import (
	"cmp"
	"slices"
)

const (
	// LoadHigh is the load of a serving task above which the filling tasks that interfere
	// with it are stopped or slowed down. At a load of 0.8 its tail latency is at its target.
	LoadHigh = 0.78
	// LoadTarget is the predicted load at which no more filling tasks are stopped or
	// slowed down, and below which paces are raised.
	LoadTarget = 0.72
	// minAddedLoad is the load that a filling task must add to a serving one to be worth
	// stopping or slowing down.
	minAddedLoad = 0.03
	// minPace is the lowest pace of a task that is slowed down, in percent. The worker still
	// shows its progress.
	minPace = 10
	// restartBelowPercent is the progress from which ByLoad slows a task without checkpoints
	// down instead of letting it start again elsewhere.
	restartBelowPercent = 30
	// maxOverTargetDivisor sets the fraction of MaxOverTarget after which all filling tasks
	// on the worker end their work. The rest of MaxOverTarget is left for the stops and for
	// the next latency measurements.
	maxOverTargetDivisor = 3
)

// ByLoad returns the actions for a deployment in which a stop is cheap. It stops the filling
// tasks that add most to the highest load until LoadTarget is predicted, and slows tasks
// down that have made progress which they cannot save. It raises one task at a time to full
// pace.
func ByLoad(w Worker, c Costs) []Action {
	worst := w.worst()
	switch {
	case len(w.Serving) == 0:
		return w.raiseOne()
	case worst < 0:
		return nil
	}
	s := w.Serving[worst]
	switch {
	case c.isTooLong(s.OverFor):
		return w.endAll(worst)
	case s.Load < LoadTarget:
		return w.raiseOne()
	case s.Load < LoadHigh || !w.Settled:
		return nil
	}
	var actions []Action
	load := s.Load
	for _, i := range w.interferers(worst, func(f Filling) float64 { return f.Added[worst] }) {
		if load < LoadTarget {
			break
		}
		f := w.Filling[i]
		load -= f.Added[worst]
		a := Action{Filling: i, Kind: Stop, Reason: HighLoad, Serving: worst, Added: f.Added[worst]}
		if !f.Checkpoints && f.Progress >= restartBelowPercent {
			a.Kind, a.Percent = Slow, minPace
		}
		actions = append(actions, a)
	}
	return actions
}

// interferers returns the indexes of the tasks that can be slowed down and interfere with a
// serving task, the highest rank first.
func (w Worker) interferers(serving int, rank func(Filling) float64) []int {
	var indexes []int
	for i, f := range w.Filling {
		if !f.Fixed && f.Pace > minPace && f.Added[serving] > minAddedLoad {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(rank(w.Filling[b]), rank(w.Filling[a])) })
	return indexes
}

// endAll stops all filling tasks, or suspends those without checkpoints.
func (w Worker) endAll(serving int) []Action {
	var actions []Action
	for i, f := range w.Filling {
		if f.Fixed || f.Wanted == 0 {
			continue
		}
		a := Action{Filling: i, Kind: Suspend, Reason: OverTarget, Serving: serving, Added: f.Added[serving]}
		if f.Checkpoints {
			a.Kind = Stop
		}
		actions = append(actions, a)
	}
	return actions
}

// raiseOne raises the first slow task to full pace with which each load stays within
// LoadTarget.
func (w Worker) raiseOne() []Action {
	if !w.Settled {
		return nil
	}
	for i, f := range w.Filling {
		if f.Fixed || f.Pace == 100 || f.Pace != f.Wanted {
			continue
		}
		fits := true
		for v, s := range w.Serving {
			fits = fits && s.Load+f.AtFullPace[v] <= LoadTarget
		}
		if fits {
			return []Action{{Filling: i, Kind: Raise, Percent: 100, Reason: LoadAllowed, Serving: w.worst()}}
		}
	}
	return nil
}
