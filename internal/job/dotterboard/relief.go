package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterrelief"
)

// lastTasksDivisor sets the fraction of a step's tasks that count as its last ones.
const lastTasksDivisor = 10

// reliefView is the input of a decision of dotterrelief, with the tasks that it is about.
type reliefView struct {
	dotterrelief.Worker
	serving, filling []*task
}

// relieve takes the actions that dotterrelief decides on for the serving tasks on the
// worker.
func (b *Board) relieve(now dotterclock.Millis, w *worker) {
	if !b.needsRelief(now, w) {
		return
	}
	decide := dotterrelief.ByLoad
	if b.settings.WeighStops {
		decide = dotterrelief.ByCost
	}
	v := b.newReliefView(now, w)
	for _, a := range decide(v.Worker, dotterrelief.Costs{MaxOverTarget: b.settings.MaxOverTarget, Stop: b.settings.StopDelay, Restore: b.settings.RestoreDelay}) {
		w.movedAt = now
		b.relieveBy(now, w, v, a)
	}
}

// needsRelief reports whether any action may be necessary. It saves the predictions for
// workers whose serving tasks have little load.
func (b *Board) needsRelief(now dotterclock.Millis, w *worker) bool {
	filling, slow, high := false, false, false
	for _, t := range w.runs {
		switch {
		case t.phase != running:
		case t.step.Fills:
			filling = true
			slow = slow || t.pace != 100
		case t.step.Serves() && t.tail > 0:
			high = high || t.overTargetSince != 0 || t.expectedLoad(now) >= dotterrelief.LoadTarget
		}
	}
	return filling && (slow || high)
}

// newReliefView returns the worker's serving and filling tasks, by ID.
func (b *Board) newReliefView(now dotterclock.Millis, w *worker) reliefView {
	v := reliefView{Worker: dotterrelief.Worker{Settled: now-w.movedAt >= settleDelay}}
	used := 0.0
	for _, t := range w.runs {
		used += cpuShare(now, w, t)
		switch {
		case t.step.Serves():
			v.serving = append(v.serving, t)
		case t.step.Fills:
			v.filling = append(v.filling, t)
		}
	}
	byID := func(a, b *task) int { return cmp.Compare(a.id().String(), b.id().String()) }
	slices.SortFunc(v.serving, byID)
	slices.SortFunc(v.filling, byID)
	v.Unused = saturatedCPU - used
	for _, t := range v.serving {
		v.Serving = append(v.Serving, servingView(now, t))
	}
	for _, t := range v.filling {
		v.Filling = append(v.Filling, b.fillingView(now, w, t, v.serving, used > saturatedCPU))
	}
	return v
}

func servingView(now dotterclock.Millis, t *task) dotterrelief.Serving {
	load := t.expectedLoad(now)
	users := &t.step.userLoad
	s := dotterrelief.Serving{Load: load, Known: t.phase == running && t.tail > 0}
	s.Peak = load + max(0, users.predict(now+placementHorizon)-users.predict(now+orderEffectDelay))
	if t.overTargetSince != 0 {
		s.OverFor = now - t.overTargetSince
	}
	return s
}

func (b *Board) fillingView(now dotterclock.Millis, w *worker, t *task, serving []*task, saturated bool) dotterrelief.Filling {
	f := dotterrelief.Filling{
		Fixed: t.phase != running || t.stopping, Pace: t.pace, Wanted: t.paceWanted, PacedFor: now - max(t.pacedAt, t.startedAt),
		Checkpoints: t.step.Checkpoints, Progress: t.progress, Stake: b.stakeOf(now, t),
		Use: unmeasuredUse * float64(t.step.Size.MilliCores) / float64(max(1, w.Capacity.MilliCores)),
	}
	share := cpuShare(now, w, t)
	for _, s := range serving {
		e := b.learned.slope(now, s, t.step.Image)
		slope := e.UpperBound(deviationWeight)
		if saturated {
			slope += saturationSlope
		}
		f.Added = append(f.Added, slope*share)
		f.AtFullPace = append(f.AtFullPace, e.Mean*f.Use)
	}
	return f
}

// stakeOf returns what the task's job loses by a stop or a reduced pace.
func (b *Board) stakeOf(now dotterclock.Millis, t *task) dotterrelief.Stake {
	s := t.step
	left := t.timeLeft(now)
	work := now - max(t.startedAt, t.checkpointAt)
	if s.Checkpoints && b.settings.CheckpointInterval > 0 {
		work = min(work, b.settings.CheckpointInterval)
	}
	return dotterrelief.Stake{
		Work: work, Left: left, Delay: t.delayUntil(now), Stops: t.reliefStops,
		Slack: s.occurrence.objective(now+b.wallOffset, now) - now - left - (s.remainingPath - s.Estimate),
		Last:  s.occurrence.open == 1 && s.Count-s.done <= max(1, s.Count/lastTasksDivisor),
	}
}

// timeLeft returns the estimated run time that is left at full pace: by the progress so far
// if that shows it, or else by the declared run time.
func (t *task) timeLeft(now dotterclock.Millis) dotterclock.Millis {
	elapsed := now - t.startedAt
	if t.fromScratch && t.progress >= minSamplePercent && elapsed >= minSampleDuration {
		return max(0, elapsed-t.delayUntil(now)) * dotterclock.Millis(100-t.progress) / dotterclock.Millis(t.progress)
	}
	return t.step.Estimate * dotterclock.Millis(100-t.progress) / 100
}

// delayUntil returns the time that the run has lost by reduced paces.
func (t *task) delayUntil(now dotterclock.Millis) dotterclock.Millis {
	if t.pace == 100 {
		return t.delay
	}
	return t.delay + (now-t.pacedAt)*dotterclock.Millis(100-t.pace)/100
}

// confirmPace records that the worker has set the run's pace.
func (t *task) confirmPace(now dotterclock.Millis, percent int) {
	t.delay = t.delayUntil(now)
	t.pace, t.pacedAt, t.paceUnknown = percent, now, false
	t.progressAt = now // it may have made no progress because of its pace
}

// relieveBy takes an action and logs what decided it.
func (b *Board) relieveBy(now dotterclock.Millis, w *worker, v reliefView, a dotterrelief.Action) {
	t, f := v.filling[a.Filling], v.Filling[a.Filling]
	b.counters.Relief[a.Kind]++
	fields := b.runFields(t, zap.String("Action", string(a.Kind)), zap.String("Reason", string(a.Reason)), zap.Int("FromPercent", t.pace), zap.Int("Percent", a.Percent),
		zap.Float64("AddedLoad", a.Added), zap.String("FillingImage", t.step.Image),
		zap.Int64("WorkMs", int64(f.Stake.Work)), zap.Int64("LeftMs", int64(f.Stake.Left)), zap.Int64("SlackMs", int64(f.Stake.Slack)),
		zap.Int64("DelayMs", int64(f.Stake.Delay)), zap.Int("EarlierStops", f.Stake.Stops))
	if a.Serving >= 0 { // otherwise none is left
		s, known := v.serving[a.Serving], v.Serving[a.Serving]
		fields = append(fields, zap.String("Serving", s.id().String()), zap.String("ServingImage", s.step.Image), zap.Float64("Load", known.Load),
			zap.Int64("TailMs", int64(s.tail)), zap.Int64("TargetMs", int64(s.step.TailTarget)),
			zap.Int64("TailReadMsAgo", int64(now-s.tailReadAt)), zap.Int64("OverMs", int64(known.OverFor)))
	}
	switch a.Reason {
	case dotterrelief.OverTarget:
		b.logger.Warn("filling task suspended for a serving task", fields...)
	case dotterrelief.LoadAllowed:
		b.logger.Info("filling task beside a serving task gets a higher pace", fields...)
	default:
		b.logger.Info("filling task interferes with a serving task", fields...)
	}
	if a.Kind != dotterrelief.Stop {
		b.setPace(w, t, a.Percent)
		return
	}
	t.reliefStops++
	reason := "interferes with a serving task"
	if a.Reason == dotterrelief.OverTarget {
		reason = "a serving task is over its target"
	}
	b.stop(now, t, reason)
}

// restartOf returns what a worker means to a task of a serving step that has lost its own.
func (b *Board) restartOf(now dotterclock.Millis, l *workerLoad, s *step) dotterrelief.Restart {
	w := l.worker
	r := dotterrelief.Restart{
		Tasks: s.Count, OwnLoad: s.task(0).ownLoad(now, now+placementHorizon), Added: b.predictAddedLoad(now, l, s),
		Reserved: float64(w.reserved.MilliCores) / float64(max(1, w.Capacity.MilliCores)),
	}
	for _, t := range s.tasks {
		if t.worker != nil && t.worker.FailureDomain == w.FailureDomain {
			r.InDomain++
			if t.worker == w {
				r.OnWorker++
			}
		}
	}
	return r
}

// noteRestart counts and logs the choice of a worker for a serving task that has lost its own.
func (b *Board) noteRestart(now dotterclock.Millis, l *workerLoad, t *task) {
	r := b.restartOf(now, l, t.step)
	b.counters.Relief[dotterrelief.RestartFirst]++
	b.logger.Info("serving task restarts", zap.String("Job", string(t.job().ID)), zap.String("Task", t.id().String()), zap.Int("Run", t.run+1), zap.String("Worker", l.worker.ID),
		zap.String("FailureDomain", l.worker.FailureDomain), zap.Int64("WaitedMs", int64(now-t.step.waitingSince)), zap.Int("OnWorker", r.OnWorker), zap.Int("InDomain", r.InDomain),
		zap.Int("Tasks", r.Tasks), zap.Float64("OwnLoad", r.OwnLoad), zap.Float64("AddedLoad", r.Added), zap.Int64("ListedMsAgo", int64(now-l.worker.heardAt)))
}

// setPace orders the pace of a run, in percent of full speed.
func (b *Board) setPace(w *worker, t *task, percent int) {
	t.paceWanted = percent
	w.send(&Order{kind: orderPace, task: t, ref: t.ref()})
}
