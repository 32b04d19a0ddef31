package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// smallJob is an ordinary job of the first queue.
func (s *system) smallJob() *job {
	return s.newJob("/lohu930/", job{Steps: []step{
		{Count: 6, Cpu: 5700, MemMb: 8200, EstimateMs: 1000, workMs: 1000},
		{Count: 4, Cpu: 5700, MemMb: 8200, EstimateMs: 1000, After: []int{0}, workMs: 1000},
	}})
}

// traffic hands a small job in every second for the time, and returns the accepted ones.
type traffic struct {
	mu   sync.Mutex
	jobs []*job
}

func (t *traffic) accepted() []*job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*job{}, t.jobs...)
}

func (t *traffic) run(s *system, length time.Duration) {
	var all sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second) {
		all.Go(func() {
			if j := s.smallJob(); s.submit(j) == 200 {
				t.mu.Lock()
				t.jobs = append(t.jobs, j)
				t.mu.Unlock()
			}
		})
	}
	all.Wait()
}

// settle waits finish_s after the traffic, and returns how many accepted jobs are shown as completed.
func (t *traffic) settle(s *system) (completed int, others map[string]int) {
	others = map[string]int{}
	end := time.Now().Add(14 * time.Second)
	left := t.accepted()
	for len(left) > 0 && time.Now().Before(end) {
		var open []*job
		for _, j := range left {
			if s.state(j) != "completed" {
				open = append(open, j)
			}
		}
		left = open
		time.Sleep(200 * time.Millisecond)
	}
	for _, j := range left {
		state := s.state(j)
		s.rec.note("client", "GET %s%s, finish_s after the traffic: %s", j.Prefix, j.ID, state)
		others[state]++
	}
	return len(t.accepted()) - len(left), others
}

// withTraffic plays small jobs after trouble was made, and judges LOST.
func (s *system) withTraffic(length time.Duration, trouble func() error) verdict {
	first := s.smallJob()
	if s.submit(first) != 200 || s.await(first, "completed", 10*time.Second) != "completed" {
		return verdict{err: errors.New("a first job did not complete")}
	}
	if err := trouble(); err != nil {
		return verdict{err: err}
	}
	t := &traffic{}
	t.run(s, length)
	completed, others := t.settle(s)
	s.rec.say("client", "%d jobs accepted, %d completed finish_s after the traffic, others %v", len(t.accepted()), completed, others)
	return verdict{broken: s.idle(t.accepted())}
}

// playTimes hands in ordinary jobs that are to be repeated every ten minutes for four weeks, none of which is due.
func playTimes(s *system, trouble bool) verdict {
	return s.withTraffic(30*time.Second, func() error {
		for range 16 {
			j := job{Steps: []step{
				{Count: 8, Cpu: 7000, MemMb: 13000, EstimateMs: 1700, workMs: 1700},
				{Count: 8, Cpu: 7000, MemMb: 13000, EstimateMs: 1700, After: []int{0}, workMs: 1700},
			}}
			if trouble {
				j.Times, j.IntervalMs, j.FirstMs = 4032, 600_000, time.Now().Add(10*time.Minute).UnixMilli()
			}
			sent := s.newJob("/pufi791/", j)
			if status := s.submit(sent); status != 200 && !trouble {
				return fmt.Errorf("a job is answered %d", status)
			}
		}
		return nil
	})
}

// playRecord hands in one job of which so many tasks run that its stored progress is larger than a value may be.
func playRecord(s *system, trouble bool) verdict {
	return s.withTraffic(30*time.Second, func() error {
		if !trouble {
			return nil
		}
		j := s.newJob("/pufi791/", job{Times: 3, IntervalMs: 1000, FirstMs: time.Now().UnixMilli(), Steps: []step{
			{Count: 4096, Cpu: 50, MemMb: 64, EstimateMs: 60000, workMs: 60000},
		}})
		if status := s.submit(j); status != 200 {
			return fmt.Errorf("the large job is answered %d", status)
		}
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && s.store.refusals() == 0; time.Sleep(50 * time.Millisecond) {
		}
		s.rec.say("script", "%d tasks of the large job have started; the store has refused %d transactions", s.startsOf(j), s.store.refusals())
		return nil
	})
}

// startsOf returns how many starts the tasks of the jobs had.
func (s *system) startsOf(jobs ...*job) int {
	ids := map[string]bool{}
	for _, j := range jobs {
		ids[j.ID] = true
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, st := range s.fleet.starts {
		if ids[st.task[:16]] {
			n++
		}
	}
	return n
}

// mostRuns returns how often the task of the job was started that was started most often.
func (s *system) mostRuns(j *job) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	runs, most := map[string]int{}, 0
	for _, st := range s.fleet.starts {
		if st.task[:16] == j.ID {
			runs[st.task]++
			most = max(most, runs[st.task])
		}
	}
	return most
}

// playCut cuts a zone off whose minions run on, and plays ordinary jobs afterwards.
func playCut(s *system, trouble bool) verdict {
	// Ordinary jobs, after which the minions are looked at at different times.
	var warm []step
	for i := range 18 {
		work := int64(600 + 53*i)
		warm = append(warm, step{Count: 32, Cpu: 2000, MemMb: 1024, EstimateMs: work, workMs: work})
	}
	before, err := s.submitAll("/pufi791/", warm)
	if err != nil {
		return verdict{err: err}
	}
	for _, j := range before {
		if state := s.await(j, "completed", 10*time.Second); state != "completed" {
			return verdict{err: fmt.Errorf("a job is shown as %s", state)}
		}
	}
	long, err := s.submitAll("/pufi791/", slices.Repeat([]step{{Count: 32, Cpu: 2000, MemMb: 1024, EstimateMs: 4300, workMs: 4300}}, 18))
	if err != nil {
		return verdict{err: err}
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && s.startsOf(long...) < 18*32; time.Sleep(5 * time.Millisecond) {
	}
	owner := s.owner()
	if owner == nil {
		return verdict{err: errors.New("no owner")}
	}
	var near disturbed
	if trouble {
		zone := ""
		for _, z := range zones {
			if z != owner.zone {
				zone = z
			}
		}
		at := s.rec.now()
		s.rec.say("script", "%s is cut off", zone)
		for _, m := range minionsOf {
			if m.zone == zone {
				m.cut()
			}
		}
		time.Sleep(5900 * time.Millisecond)
		for _, m := range minionsOf {
			if m.zone == zone {
				m.heal()
			}
		}
		s.rec.say("script", "%s is back", zone)
		near = disturbed{{at, s.rec.now()}}
	}
	time.Sleep(12 * time.Second)
	var jobs []*job
	for range 7 {
		round, err := s.submitAll("/lohu930/", slices.Repeat([]step{{Count: 36, Cpu: 500, MemMb: 256, EstimateMs: 700, workMs: 700}}, 64))
		if err != nil {
			return verdict{err: err}
		}
		jobs = append(jobs, round...)
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	states, most := map[string]int{}, 0
	for _, j := range jobs {
		states[s.state(j)]++
		most = max(most, s.mostRuns(j))
	}
	s.rec.say("client", "448 jobs of 36 tasks are shown as %v finish_s after the traffic; their 16128 tasks were started %d times, one of them %d times", states, s.startsOf(jobs...), most)
	if owner := s.owner(); owner != nil { // planned work, in both variants
		owner.term()
	}
	time.Sleep(10 * time.Second)
	return verdict{broken: s.twice(near)}
}

// submitAll hands in a job of each step.
func (s *system) submitAll(prefix string, steps []step) ([]*job, error) {
	var jobs []*job
	for _, one := range steps {
		j := s.newJob(prefix, job{Steps: []step{one}})
		if status := s.submit(j); status != 200 {
			return nil, fmt.Errorf("a job is answered %d", status)
		}
		jobs = append(jobs, j)
	}
	return jobs, nil
}

// playCap lets a tenant hand in several jobs at once, or one after another without the disruption. Its cap
// is enough for two tasks at a time.
func playCap(s *system, trouble bool) verdict {
	time.Sleep(3 * time.Second)
	var jobs []*job
	for i := range 24 {
		if i == 4 && !trouble {
			break
		}
		j := s.newJob("/lohu930/", job{Steps: []step{{Count: 4, Cpu: 2600, MemMb: 2000, EstimateMs: 1000, workMs: 1000}}})
		if status := s.submit(j); status != 200 {
			return verdict{err: fmt.Errorf("a job is answered %d", status)}
		}
		jobs = append(jobs, j)
		if !trouble {
			s.await(j, "completed", 10*time.Second)
		}
	}
	time.Sleep(14 * time.Second)
	states, starts := map[string]int{}, 0
	for _, j := range jobs {
		states[s.state(j)]++
		starts += s.startsOf(j)
	}
	s.rec.say("client", "%d jobs of 4 tasks are shown as %v finish_s after the traffic; %d tasks were started", len(jobs), states, starts)
	return verdict{broken: s.idle(jobs)}
}
