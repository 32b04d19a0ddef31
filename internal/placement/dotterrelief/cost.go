package dotterrelief

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// raiseLimit is the highest load of a serving task that a higher pace may lead to. The
	// difference to LoadHigh is about the error of the predicted load.
	raiseLimit = 0.70
	// holdTime is how long a task keeps its pace before it is raised. It is two readings of
	// the tail latency, of which the first may cover the time before the change.
	holdTime = dotterclock.Second
	// paceStep is the granularity of paces, in percent.
	paceStep = 10
	// minRaise is the least rise of a pace, in percent, except to full pace. It saves orders
	// that make little difference.
	minRaise = 20
	// pressingUrgency is the urgency of a task whose delay makes its job late or later; that
	// of others is 1.
	pressingUrgency = 2
	// tolerance covers rounding errors in sums of loads.
	tolerance = 1e-9
)

// ByCost returns the actions for a deployment in which a stop is expensive: it reduces paces
// first, and stops a task once its delay has reached the cost of the stop.
func ByCost(w Worker, c Costs) []Action {
	worst := w.worst()
	switch {
	case len(w.Serving) == 0:
		return w.raise(noServing)
	case worst < 0:
		return w.stopDelayed(0, c, nil) // without readings nothing else is certain
	}
	if i := w.longestOver(); i >= 0 && c.isTooLong(w.Serving[i].OverFor) {
		return w.suspendAll(i, c)
	}
	load := w.Serving[worst].Load
	switch {
	case load < LoadTarget && !w.Settled:
		return nil // paces may be raised soon
	case load < LoadTarget:
		return w.stopDelayed(worst, c, w.raise(worst))
	case load >= LoadHigh && w.Settled:
		return w.stopDelayed(worst, c, w.slowDown())
	}
	return w.stopDelayed(worst, c, nil)
}

// suspendAll sets the pace of all filling tasks to 0. Of those that have it already, it stops
// the ones for which a stop is cheaper by now.
func (w Worker) suspendAll(serving int, c Costs) []Action {
	actions := w.stopDelayed(serving, c, nil)
	for i, f := range w.Filling {
		if !f.Fixed && f.Wanted != 0 && !slices.ContainsFunc(actions, func(a Action) bool { return a.Filling == i }) {
			actions = append(actions, Action{Filling: i, Kind: Suspend, Reason: OverTarget, Serving: serving, Added: f.Added[serving]})
		}
	}
	return actions
}

// stopDelayed returns more with the stops of the tasks whose delay by reduced paces has
// reached the cost of a stop. Tasks that get another pace, or have just got theirs, stay.
func (w Worker) stopDelayed(serving int, c Costs, more []Action) []Action {
	actions := more
	for i, f := range w.Filling {
		changes := f.PacedFor < holdTime || slices.ContainsFunc(more, func(a Action) bool { return a.Filling == i })
		if !f.Fixed && f.Pace == f.Wanted && f.Pace < 100 && !changes && f.isBetterStopped(c) {
			actions = append(actions, Action{Filling: i, Kind: Stop, Reason: LongDelay, Serving: serving, Added: f.Added[serving]})
		}
	}
	return actions
}

// isBetterStopped reports whether a slow task is to continue on another worker.
func (f Filling) isBetterStopped(c Costs) bool {
	s := f.Stake
	cost := s.Work + c.Stop + c.Restore
	delayIfKept := s.Left*100/dotterclock.Millis(max(minPace, f.Pace)) - s.Left
	threshold := cost * dotterclock.Millis(1+s.Stops)
	if s.Last {
		threshold /= 2
	}
	return s.Delay >= threshold && delayIfKept > cost && delayIfKept > s.Slack
}

// urgency returns the weight of a task's delay.
func (f Filling) urgency() float64 {
	if f.Stake.Last || f.Stake.Slack <= 0 {
		return pressingUrgency
	}
	return 1
}

// slowDown reduces paces until LoadTarget is predicted for each serving task whose load is
// high. It begins with the tasks that take most load off for the least harm to their jobs,
// and reduces no pace further than necessary.
func (w Worker) slowDown() []Action {
	loads := make([]float64, len(w.Serving))
	var high []int
	for i, s := range w.Serving {
		loads[i] = s.Load
		if s.Known && s.Load >= LoadHigh {
			high = append(high, i)
		}
	}
	slices.SortStableFunc(high, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	var actions []Action
	slowed := map[int]bool{}
	for _, v := range high {
		if loads[v] < LoadHigh {
			continue // enough was taken off for another one
		}
		for _, i := range w.interferers(v, func(f Filling) float64 { return f.Added[v] / f.urgency() }) {
			f := w.Filling[i]
			if loads[v] <= LoadTarget+tolerance {
				break
			}
			if slowed[i] || f.Pace != f.Wanted {
				continue
			}
			slowed[i] = true
			pace := f.paceFor(v, loads[v]-LoadTarget)
			for j := range loads {
				loads[j] -= f.Added[j] * float64(f.Pace-pace) / float64(f.Pace)
			}
			actions = append(actions, Action{Filling: i, Kind: Slow, Percent: pace, Reason: HighLoad, Serving: v, Added: f.Added[v]})
		}
	}
	return actions
}

// paceFor returns the highest pace at which the load that the task adds to a serving task is lower
// by excess than now, or minPace.
func (f Filling) paceFor(serving int, excess float64) int {
	pace := int(float64(f.Pace)*(1-excess/f.Added[serving]) + tolerance)
	return max(minPace, min(pace/paceStep*paceStep, f.Pace-paceStep))
}

// raise raises paces as far as the load of each serving task stays within raiseLimit and the
// processor time that is unused suffices. The tasks with the most delay, weighed by their
// urgency, come first.
func (w Worker) raise(worst int) []Action {
	loads := make([]float64, len(w.Serving))
	for i, s := range w.Serving {
		loads[i] = max(s.Load, s.Peak)
	}
	var slow []int
	for i, f := range w.Filling {
		if !f.Fixed && f.Pace < 100 && f.Pace == f.Wanted && f.PacedFor >= holdTime {
			slow = append(slow, i)
		}
	}
	slices.SortStableFunc(slow, func(a, b int) int {
		rank := func(f Filling) float64 { return float64(f.Stake.Delay) * f.urgency() }
		return cmp.Compare(rank(w.Filling[b]), rank(w.Filling[a]))
	})
	var actions []Action
	unused := w.Unused
	for _, i := range slow {
		f := w.Filling[i]
		pace := f.highestPace(loads, unused)
		if pace < 100 && pace < f.Pace+minRaise {
			continue
		}
		rise := float64(pace-f.Pace) / 100
		unused -= f.Use * rise
		for v := range loads {
			loads[v] += f.AtFullPace[v] * rise
		}
		actions = append(actions, Action{Filling: i, Kind: Raise, Percent: pace, Reason: LoadAllowed, Serving: worst})
	}
	return actions
}

// highestPace returns the highest pace that the loads and the unused processor time permit,
// or the present one.
func (f Filling) highestPace(loads []float64, unused float64) int {
	for pace := 100; pace > f.Pace; pace -= paceStep {
		rise := float64(pace-f.Pace) / 100
		fits := f.Use*rise <= unused
		for v, load := range loads {
			fits = fits && (load+f.AtFullPace[v]*rise <= raiseLimit || f.AtFullPace[v] <= 0)
		}
		if fits {
			return pace
		}
	}
	return f.Pace
}
