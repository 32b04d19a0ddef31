package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// The plays in this file show faults that the report tells of beside the cases.

func init() {
	cases["ends"], deployments["ends"] = playEnds, deployment{daemons: 3, minions: 3}
	cases["route"], deployments["route"] = playRoute, deployment{daemons: 3, minions: 6}
	cases["gang"], deployments["gang"] = playGang, deployment{daemons: 3, minions: 4}
}

// playEnds freezes the owner while each minion runs more tasks than a list of ends has rows.
func playEnds(s *system, trouble bool) verdict {
	var near disturbed
	for i, name := range []string{"the first job", "the second job"} {
		j := s.newJob("/lohu930/", job{Steps: []step{{Count: 1920, Cpu: 100, MemMb: 128, EstimateMs: 1000, workMs: 1000}}})
		if status := s.submit(j); status != 200 {
			return verdict{err: fmt.Errorf("%s is answered %d", name, status)}
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && s.startsOf(j) < j.tasks(); time.Sleep(2 * time.Millisecond) {
		}
		s.rec.say("script", "%d of %d tasks of %s have started", min(s.startsOf(j), j.tasks()), j.tasks(), name)
		if trouble && i == 0 {
			owner := s.owner()
			if owner == nil {
				return verdict{err: errors.New("no owner")}
			}
			at := s.rec.now()
			owner.freeze(4 * time.Second)
			near = disturbed{{at, at + 4000}}
		}
		state := s.await(j, "completed", 30*time.Second)
		s.rec.say("client", "%s is shown as %s after 30 s at most; its %d tasks were started %d times", name, state, j.tasks(), s.startsOf(j))
		time.Sleep(8 * time.Second)
	}
	return verdict{broken: s.twice(near)}
}

// playRoute drops a queue while an accepted job of it runs, and stops the owner.
func playRoute(s *system, trouble bool) verdict {
	j := s.newJob("/pufi791/", job{Steps: []step{
		{Count: 6, Cpu: 7000, MemMb: 13000, EstimateMs: 3000, workMs: 3000},
		{Count: 6, Cpu: 7000, MemMb: 13000, EstimateMs: 3000, After: []int{0}, workMs: 3000},
		{Count: 6, Cpu: 7000, MemMb: 13000, EstimateMs: 3000, After: []int{1}, workMs: 3000},
	}})
	if status := s.submit(j); status != 200 {
		return verdict{err: fmt.Errorf("the job is answered %d", status)}
	}
	time.Sleep(time.Second)
	s.configure(7, allRoutes()[:1])
	time.Sleep(time.Second)
	if owner := s.owner(); trouble && owner != nil {
		owner.term()
	}
	time.Sleep(14 * time.Second)
	broken := s.idle([]*job{j})
	s.rec.say("client", "%d of the %d tasks of the job were started", s.startsOf(j), j.tasks())
	return verdict{broken: broken}
}

// playGang lets a minion crash that runs a member of a gang.
func playGang(s *system, trouble bool) verdict {
	j := s.newJob("/lohu930/", job{Steps: []step{{Count: 4, Cpu: 40000, MemMb: 8200, EstimateMs: 9000, Gang: true, Checkpointing: true, workMs: 9000}}})
	if status := s.submit(j); status != 200 {
		return verdict{err: fmt.Errorf("the job is answered %d", status)}
	}
	time.Sleep(3800 * time.Millisecond)
	if trouble {
		m := minionsOf[0]
		s.rec.say("script", "%s crashes", m.id)
		m.crash(4500 * time.Millisecond)
		s.rec.say("script", "it is back as %s", m.id)
	}
	state := s.await(j, "completed", 40*time.Second)
	s.rec.say("client", "the job is shown as %s", state)
	values := map[int]map[string]bool{}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, st := range s.fleet.starts {
		s.rec.note("ran", "%s run %d started at %.3f on %s with Saved %q", st.task, st.run, float64(st.at)/1000, st.minion, st.saved)
		if values[st.run] == nil {
			values[st.run] = map[string]bool{}
		}
		values[st.run][st.saved] = true
	}
	var broken []string
	for number, all := range values {
		if len(all) > 1 {
			broken = append(broken, fmt.Sprintf("PROTOCOL: the members of run %d of the gang were started with %d different values of Saved: %v", number, len(all), all))
		}
	}
	return verdict{broken: broken}
}

// freeze stops the daemon and continues it after the pause.
func (n *node) freeze(pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	process := n.cmd.Process
	_ = process.Signal(syscall.SIGSTOP)
	n.sys.rec.say(n.name, "freezes for %v", pause)
	time.AfterFunc(pause, func() {
		_ = process.Signal(syscall.SIGCONT)
		n.sys.rec.say(n.name, "wakes")
	})
}

// crash ends all that the minion runs. It is silent for the pause and comes back under the same ID.
func (m *minion) crash(pause time.Duration) {
	f := m.fleet
	f.mu.Lock()
	for _, r := range m.sorted() {
		r.over = true
		delete(f.active, r)
		others := f.gangs[r.gangKey()]
		delete(f.gangs, r.gangKey())
		for _, other := range others {
			if other != r {
				f.finish(other, "broken")
			}
		}
	}
	m.runs, m.ends = map[string]*run{}, nil
	f.mu.Unlock()
	m.cut()
	time.Sleep(pause)
	f.mu.Lock()
	m.born, m.fence, m.until, m.next, m.highest = time.Now(), 0, 0, 1, map[string]int{}
	f.mu.Unlock()
	m.heal()
}
