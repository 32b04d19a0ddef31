package dotterboard

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// atCapFraction is the fraction of its cap that a tenant's runs declare when its waiting tasks
// wait for the cap: the rest may be too little for any of them.
const atCapFraction = 0.9

// outlook returns what hosts need to refuse jobs under overload; nothing if the board's settings
// do not call for it.
func (b *Board) outlook(now, wall dotterclock.Millis) dottervacancy.Outlook {
	if !b.settings.Admission {
		return dottervacancy.Outlook{}
	}
	var o dottervacancy.Outlook
	b.containShared("outlook", func() {
		backlog := b.admissionBacklog(now, wall)
		if len(backlog) == 0 {
			o = b.meter.Observe(now, wall, nil, nil, nil)
			return
		}
		progress, capped := b.admissionProgress()
		o = b.meter.Observe(now, wall, backlog, progress, capped)
	})
	return o
}

// AdoptOutlook takes the drains from what the previous owner published last, until this one has
// measured them; wall is the time of day.
func (b *Board) AdoptOutlook(now, wall dotterclock.Millis, o dottervacancy.Outlook) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meter.Adopt(now, wall, o)
}

// admissionTasks returns what identifies the step's tasks in an outlook.
func (s *step) admissionTasks() dotteradmission.Tasks {
	j := s.occurrence.job
	return dotteradmission.Tasks{Service: j.queue.Service, Fills: s.Fills, Tenant: j.Tenant, Image: s.Image}
}

// admissionBacklog returns the waiting tasks of ready steps. Those of long-running steps and
// those that only some workers can run are left out: they may wait while others find room.
func (b *Board) admissionBacklog(now, wall dotterclock.Millis) []dotteradmission.Waiting {
	var backlog []dotteradmission.Waiting
	for _, j := range b.open {
		if j.leaving || b.excluded[j.ID] || j.queue.Advice != nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting == 0 || s.LongRunning || s.Gang || s.Label != "" || s.PerWorker > 0 || s.Size.Accelerators > 0 || o.due > wall {
					continue
				}
				begin, objective := o.releaseTime(wall, now), o.objective(wall, now)
				shortest := dotterclock.Millis(minEstimateFraction * float64(s.remainingPath))
				w := dotteradmission.Waiting{
					Tasks: s.admissionTasks(), Rank: j.queue.Rank, Class: dotteradmission.SizeClass(s.Size),
					Left: begin + usefulFactor*(objective-begin) - now - shortest,
				}
				if now+shortest <= objective {
					w.Slack = objective - now
				}
				work := dotteradmission.Work(s.waiting, s.Size, s.Estimate)
				switch {
				case !s.ready(wall):
					w.Later = work
				case s.waitingSince != 0:
					w.Work, w.Waited = work, now-s.waitingSince
				}
				backlog = append(backlog, w)
			}
		}
	}
	return backlog
}

// admissionProgress returns the work that runs have done so far, and the caps of the tenants
// that are at them.
func (b *Board) admissionProgress() (progress map[dotteradmission.Tasks]int64, capped map[string]dotterroom.Room) {
	progress, capped = map[dotteradmission.Tasks]int64{}, map[string]dotterroom.Room{}
	declared := map[string]dotterroom.Room{} // by tenant
	for _, w := range b.workersByID {
		for _, t := range w.runs {
			s := t.step
			if tenant := t.job().Tenant; tenant != "" {
				declared[tenant] = declared[tenant].Add(s.Size)
			}
			if t.phase == running && !s.LongRunning {
				progress[s.admissionTasks()] += dotteradmission.Work(1, s.Size, s.Estimate) * int64(t.progress) / 100
			}
		}
	}
	for name, size := range declared {
		if t, ok := b.document.Tenant(name); ok && isAtCap(size, t.Cap) {
			capped[name] = t.Cap
		}
	}
	return progress, capped
}

func isAtCap(declared, limit dotterroom.Room) bool {
	reached := func(declared, limit int64) bool {
		return limit > 0 && float64(declared) >= atCapFraction*float64(limit)
	}
	return reached(declared.MilliCores, limit.MilliCores) || reached(declared.MemoryMB, limit.MemoryMB) || reached(declared.Accelerators, limit.Accelerators)
}
