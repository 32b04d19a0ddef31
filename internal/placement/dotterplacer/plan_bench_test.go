package dotterplacer_test

import (
	"fmt"
	"testing"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterplacer"
)

const (
	benchTeams     = 68
	benchTemplates = 204
	benchHolders   = 25 // per worker
)

// benchState returns a shard with benchHolders tasks running on each worker and
// with queued tasks; free is the number of millicores left on each worker.
func benchState(workers, queued int, free int64) dotterplan.State {
	s := dotterplan.State{Now: 10_000_000}
	s.Configuration.Partners = []dotterconfig.Partner{{Name: "A", SharePercent: 50}, {Name: "B", SharePercent: 50}}
	for i := range benchTeams {
		s.Configuration.Teams = append(s.Configuration.Teams, dotterconfig.Team{Name: fmt.Sprintf("team%d", i), Partner: []string{"A", "B"}[i%2], Weight: 1})
	}
	for i := range benchTemplates {
		s.Configuration.Templates = append(s.Configuration.Templates, dotterconfig.Template{Name: fmt.Sprintf("template%d", i), Team: fmt.Sprintf("team%d", i%benchTeams)})
	}
	next := 0
	task := func(state dottertask.State) dottertask.Task {
		next++
		template := s.Configuration.Templates[next*7%benchTemplates]
		return dottertask.Task{
			ID: dottertask.ID(fmt.Sprintf("s-%d", next)), Team: template.Team, Template: template.Name, State: state, Attempt: 1,
			Size: dotterroom.Room{MilliCores: 2000, MemoryMB: 1000 + int64(next%5)*1000}, RunMillis: 60_000, Repeatable: true,
			Critical: next%8 == 0, Rank: 50, SubmittedAt: s.Now - 1000,
		}
	}
	for i := range workers {
		w := dotterplan.Worker{Usable: true, Host: dotterhost.Host{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprint(i / 8),
			Capacity: dotterroom.Room{MilliCores: benchHolders*2000 + free, MemoryMB: 250_000},
		}}
		for range benchHolders {
			t := task(dottertask.StateRunning)
			w.Holders = append(w.Holders, dotterplan.Holder{Task: t, Size: t.Size, StartedAt: s.Now - 100*dotterclock.Second})
		}
		s.Workers = append(s.Workers, w)
		s.Pool = s.Pool.Add(w.Host.Capacity)
	}
	for range queued {
		s.Queue = append(s.Queue, task(dottertask.StateQueued))
	}
	return s
}

// BenchmarkPlan measures one Plan for several numbers of workers. In the case
// Full the workers have no room left, in the case Room each has room for seven
// tasks.
func BenchmarkPlan(b *testing.B) {
	for name, free := range map[string]int64{"Full": 0, "Room": 14_000} {
		for _, workers := range []int{10, 20, 40, 80} {
			b.Run(fmt.Sprintf("%s/Workers%d", name, workers), func(b *testing.B) {
				s := benchState(workers, 75*workers, free)
				p := dotterplacer.New(dotterplacer.Options{})
				b.ReportAllocs()
				assigned := 0
				for b.Loop() {
					s.Now += 250
					assigned = len(p.Plan(s).Assignments)
				}
				b.ReportMetric(float64(assigned), "assigned")
			})
		}
	}
}

// BenchmarkObserve measures one call of Observe with the reports of one worker.
func BenchmarkObserve(b *testing.B) {
	s := benchState(40, 0, 0)
	p := dotterplacer.New(dotterplacer.Options{})
	p.Plan(s)
	var usage []dotterattempt.Usage
	for _, h := range s.Workers[0].Holders {
		u := dotterattempt.Usage{At: s.Now + 1, Used: h.Size, Progress: 0.5, Slowdown: 1.5}
		u.Task, u.Attempt = h.Task.ID, h.Task.Attempt
		usage = append(usage, u)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.RecordUsage(s.Now+2000, "w0", usage)
	}
	b.ReportMetric(benchHolders, "reports")
}
