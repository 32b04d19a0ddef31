package dotterboard

import (
	"fmt"
	"slices"
	"testing"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// BenchmarkPlan plans one job of filling tasks and one of other tasks on a pool that is
// full of serving and filling tasks, at the sizes of the users' sites.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{66, 490} {
		for _, waiting := range []int{0, 100} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				s := newShard(&testing.T{}, workers)
				s.run(200)
				number := 0
				next := func() int { number++; return number }
				for i := range workers / 2 {
					serving := dotterjob.Step{
						Count: 6, LongRunning: true, TailTarget: 50, Image: fmt.Sprintf("s%d", i%5),
						Size: dotterroom.Room{MilliCores: 13_000, MemoryMB: 26_000},
					}
					s.submit(next(), serving)
				}
				s.run(300)
				for i := range workers / 2 {
					s.submitTo(lowQueue, next(), benchFillingStep(i, 16))
				}
				s.run(1500)
				for range waiting {
					large := benchFillingStep(1, 4)
					large.Size.MilliCores = 60_000
					s.submitTo(lowQueue, next(), large)
				}
				s.tick()
				b.ResetTimer()
				for i := range b.N {
					now := s.clock.Now()
					s.submitTo(lowQueue, next(), benchFillingStep(i, 8))
					s.submit(next(), tasks(6, 1000))
					s.board.Plan(now, now)
					b.StopTimer()
					s.commit()
					s.clock.Advance(1)
					for _, j := range slices.Clone(s.board.open[len(s.board.open)-2:]) {
						s.board.mu.Lock()
						j.forEachTask(func(t *task) {
							if t.isBound() {
								s.board.release(now, t, dotteraccount.Dropped)
							}
						})
						s.board.mu.Unlock()
						s.board.Cancel(now, j.ID, Cancellation{})
					}
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkPlanOfTenants plans 600 waiting jobs of several tenants on full workers, some of which
// are at their caps.
func BenchmarkPlanOfTenants(b *testing.B) {
	for _, tenants := range []int{0, 20, 68} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			s := newShard(&testing.T{}, 490)
			var configured []dotterqueues.Tenant
			for i := range tenants {
				t := dotterqueues.Tenant{Name: fmt.Sprintf("t%02d", i), Weight: float64(1 + i%15)}
				if i%2 == 0 {
					t.Cap = tenantWithCap("", 100).Cap
				}
				configured = append(configured, t)
			}
			s.configureTenants(configured...)
			s.run(200)
			s.submit(1, wholeWorkers(490, 600_000))
			s.run(200)
			for i := range 600 {
				tenant := ""
				if tenants > 0 {
					tenant = configured[i%tenants].Name
				}
				step := tasks(10, 1000)
				step.Size.MilliCores += int64(i % 7 * 500)
				s.submitAs(tenant, testQueue, 2+i, step)
			}
			s.tick()
			b.ResetTimer()
			for range b.N {
				now := s.clock.Now()
				s.board.Plan(now, now)
				b.StopTimer()
				s.clock.Advance(1)
				b.StartTimer()
			}
		})
	}
}

func benchFillingStep(i, count int) dotterjob.Step {
	return dotterjob.Step{
		Count: count, Fills: true, Image: fmt.Sprintf("f%d", i%9), Checkpoints: true, Estimate: 20 * dotterclock.Second,
		Size: dotterroom.Room{MilliCores: 7000, MemoryMB: 13_000},
	}
}

// BenchmarkPlanMixed measures a plan with serving and filling tasks of many images on each
// worker, while filling steps of all images wait and workers have just sent listings.
func BenchmarkPlanMixed(b *testing.B) {
	const workers, servingJobs, fillingJobs, images = 490, 100, 160, 18
	s := newShard(&testing.T{}, workers)
	s.run(200)
	number := 0
	submit := func(count int, image string, fills bool) {
		number++
		step := fillingStep(image, count, 60_000, true)
		if !fills {
			step = servingStep(image, count)
		}
		s.submitTo(lowQueue, number, step)
	}
	for i := range servingJobs {
		submit(14, fmt.Sprintf("s%d", i%10), false)
	}
	s.run(500)
	for i := range fillingJobs {
		submit(20, fmt.Sprintf("f%d", i%images), true)
	}
	s.run(1000)
	now := s.clock.Now()
	b.ResetTimer()
	for i := range b.N {
		for _, w := range s.board.workersByID {
			w.load = nil
		}
		s.board.blocked = map[blockedKey][]blockedSize{}
		s.board.Plan(now+dotterclock.Millis(i), now)
	}
}

// BenchmarkOutlook computes the outlook of a pool that is full of serving and filling tasks, every
// 200 ms, with and without a backlog.
func BenchmarkOutlook(b *testing.B) {
	for _, waiting := range []int{0, 300} {
		b.Run(fmt.Sprintf("workers=490/waiting=%d", waiting), func(b *testing.B) {
			const workers = 490
			s := newShard(&testing.T{}, workers)
			s.board.settings.Admission = true
			s.run(200)
			number := 0
			next := func() int { number++; return number }
			for i := range workers / 2 {
				s.submit(next(), dotterjob.Step{
					Count: 6, LongRunning: true, TailTarget: 50, Image: fmt.Sprintf("s%d", i%5),
					Size: dotterroom.Room{MilliCores: 13_000, MemoryMB: 26_000},
				})
			}
			s.run(300)
			for i := range workers / 2 {
				s.submitTo(lowQueue, next(), benchFillingStep(i, 16))
			}
			s.run(1500)
			for i := range waiting {
				s.submitTo(lowQueue, next(), benchFillingStep(i, 20))
			}
			s.tick()
			b.ResetTimer()
			for range b.N {
				now := s.clock.Now()
				s.board.VacancyWithoutRoom(now, now)
				s.clock.Advance(200)
			}
		})
	}
}
