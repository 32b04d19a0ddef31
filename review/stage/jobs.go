package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// step is a step of a job on the wire, with what only the stand-ins know of it.
type step struct {
	Count         int
	Cpu           int64  `json:",omitempty"`
	MemMb         int64  `json:",omitempty"`
	Gpu           int64  `json:",omitempty"`
	EstimateMs    int64  `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	RackSensitive bool   `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	DataRack      string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	Speculative   bool   `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	Image         string `json:",omitempty"`
	TargetMs      int64  `json:",omitempty"`
	Fills         bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`

	workMs int64 // how long a run takes
}

func (s *step) room() room {
	r := room{s.Cpu, s.MemMb, s.Gpu}
	if s.Fills {
		r.Cpu = 0
	}
	return r
}

const saveEvery = 500 * time.Millisecond

// work returns how long a run takes that starts from saved.
func (s *step) work(saved string) time.Duration {
	done := time.Duration(0)
	if n, err := strconv.Atoi(saved); err == nil {
		done = time.Duration(n) * time.Millisecond
	}
	return max(0, time.Duration(s.workMs)*time.Millisecond-done)
}

// progress returns what a run has saved.
func (s *step) progress(r *run) string {
	if !s.Checkpointing || s.LongRunning || s.Gang {
		return ""
	}
	before, _ := strconv.Atoi(r.saved)
	n := before + int(time.Since(r.begun)/saveEvery*saveEvery/time.Millisecond)
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func (s *step) percent(r *run) int {
	worked := time.Since(r.begun)
	if s.LongRunning {
		if worked > 200*time.Millisecond {
			return 100
		}
		return 0
	}
	return int(min(99, 100*worked/max(1, time.Duration(s.workMs)*time.Millisecond)))
}

// job is a job as a client sends it.
type job struct {
	Spec       string
	Steps      []*step
	Times      int   `json:",omitempty"`
	FirstMs    int64 `json:",omitempty"`
	IntervalMs int64 `json:",omitempty"`

	id    string
	route route
	fails map[string]int // by task: how many of its first runs fail
}

func (j *job) body() []byte {
	raw, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	return raw
}

// started is a start that a minion has begun.
type started struct {
	at        time.Time
	task      string
	run       int
	minion    string
	life      int
	kind, how string // how it ended; empty: it has not
	endedAt   time.Time
	noted     bool
}

// truth is what the minions have really run, and which rules that breaks.
type truth struct {
	world *world
	mu    sync.Mutex
	runs  map[string][]*started // by task
	broke []string
	count int
}

// broken notes a broken rule.
func (t *truth) broken(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	t.broke = append(t.broke, line)
	t.world.rec.line("RULE BROKEN  %s", line)
}

func (t *truth) unasked(m *minion, o order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken("UNASKED", "minion %s is told to start %s, which no client sent", m.id, o.Task)
}

// start checks a start against the rules that can be judged at once. The minion's lock is held.
func (t *truth) start(m *minion, r *run, o order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, j := r.step, t.world.jobOf(r.task)
	t.count++
	t.world.rec.line("start   %s run %d on %s (life %d, kind %s), fence %d", r.task, r.number, m.id, m.life, m.kind, o.Fence)
	for _, other := range t.runs[r.task] {
		if other.how == "" && !s.Speculative {
			t.broken("TWICE", "%s run %d starts on %s while run %d works on %s", r.task, r.number, m.id, other.run, other.minion)
		}
		if other.how == "done" && other.noted {
			t.broken("TWICE", "%s run %d starts on %s after run %d was done and taken note of", r.task, r.number, m.id, other.run)
		}
	}
	if o.Spec != j.Spec {
		t.broken("UNASKED", "%s run %d has another Spec", r.task, r.number)
	}
	if s.RequiredLabel != "" && s.RequiredLabel != m.kind && s.RequiredLabel != m.rack {
		t.broken("ROUTE", "%s run %d needs label %s and starts on %s of kind %s, rack %s", r.task, r.number, s.RequiredLabel, m.id, m.kind, m.rack)
	}
	if m.service != j.route.Service {
		t.broken("ROUTE", "%s run %d starts on service %s", r.task, r.number, m.service)
	}
	if !m.guards && !m.used().fits(m.capacity) {
		t.broken("LIMIT", "%s run %d brings %s over its capacity: %v of %v", r.task, r.number, m.id, m.used(), m.capacity)
	}
	if s.MaxPerServer > 0 {
		_, k, st, _, _ := split(r.task)
		n := 0
		for _, x := range m.running {
			if xj, xk, xs, _, _ := split(x.task); xj == j.id && xk == k && xs == st {
				n++
			}
		}
		if n > s.MaxPerServer {
			t.broken("ROUTE", "%s run %d is number %d of its step on %s", r.task, r.number, n, m.id)
		}
	}
	_, k, _, _, _ := split(r.task)
	for _, before := range s.After {
		for i := range j.Steps[before].Count {
			if !t.isDone(name(j.id, k, before, i), j.Steps[before]) {
				t.broken("ORDER", "%s run %d starts before %s is done", r.task, r.number, name(j.id, k, before, i))
			}
		}
	}
	if due := j.FirstMs + int64(k)*j.IntervalMs; j.Times > 0 && time.Now().UnixMilli() < due-250 {
		t.broken("ORDER", "%s run %d starts %d ms before its time", r.task, r.number, due-time.Now().UnixMilli())
	}
	if j.fails != nil && j.route.MaxAttempts > 0 && !s.LongRunning {
		failed := 0
		for _, other := range t.runs[r.task] {
			if other.how == "failed" && other.noted {
				failed++
			}
		}
		if failed >= j.route.MaxAttempts {
			t.broken("BUDGET", "%s run %d starts after %d failed runs", r.task, r.number, failed)
		}
	}
	t.runs[r.task] = append(t.runs[r.task], &started{at: time.Now(), task: r.task, run: r.number, minion: m.id, life: m.life, kind: m.kind})
}

// isDone reports whether a task has ended done; in a gang one end stands for all.
func (t *truth) isDone(task string, s *step) bool {
	id, k, st, index, _ := split(task)
	first, last := index, index
	if s.Gang {
		first, last = 0, s.Count-1
	}
	for i := first; i <= last; i++ {
		for _, x := range t.runs[name(id, k, st, i)] {
			if x.how == "done" {
				return true
			}
		}
	}
	return false
}

func (t *truth) end(m *minion, r *run, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.world.rec.line("end     %s run %d on %s: %s", r.task, r.number, m.id, how)
	for _, x := range t.runs[r.task] {
		if x.run == r.number && x.minion == m.id && x.life == m.life {
			x.how, x.endedAt = how, time.Now()
		}
	}
}

func (t *truth) noted(m *minion, e end) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.runs[e.task] {
		if x.run == e.run && x.minion == m.id && x.life == m.life {
			x.noted = true
		}
	}
}

// judge checks the starts against the ends that were taken note of then or later.
func (t *truth) judge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task, runs := range t.runs {
		j, s := t.world.jobOf(task), t.world.stepOf(task)
		for _, x := range runs {
			failed := 0
			for _, other := range runs {
				if !other.noted || !other.endedAt.Before(x.at) {
					continue
				}
				if other.how == "done" && !s.LongRunning {
					t.broken("TWICE", "%s run %d starts %d ms after run %d was done, which was taken note of", task, x.run, x.at.Sub(other.endedAt).Milliseconds(), other.run)
				}
				if other.how == "failed" {
					failed++
				}
			}
			if failed >= j.route.MaxAttempts && !s.LongRunning {
				t.broken("BUDGET", "%s run %d starts after %d failed runs", task, x.run, failed)
			}
		}
	}
}

// idleFor returns for how long nothing of the job has run.
func (t *truth) idleFor(j *job) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.world.rec.began
	for _, runs := range t.runs {
		for _, x := range runs {
			if t.world.jobOf(x.task) != j {
				continue
			}
			if x.how == "" {
				return 0
			}
			if x.endedAt.After(last) {
				last = x.endedAt
			}
		}
	}
	return time.Since(last)
}

// dones returns how many tasks of the job have ended done.
func (t *truth) dones(j *job) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for task, runs := range t.runs {
		for _, x := range runs {
			if x.how == "done" && t.world.jobOf(task) == j {
				n++
				break
			}
		}
	}
	return n
}

// of returns the runs of a task.
func (t *truth) of(task string) []started {
	t.mu.Lock()
	defer t.mu.Unlock()
	var runs []started
	for _, x := range t.runs[task] {
		runs = append(runs, *x)
	}
	return runs
}

// gangs lets the members of a gang begin together.
type gangs struct {
	mu sync.Mutex
	by map[string]*gang
}

type gang struct {
	members map[string]*run
	minions map[*run]*minion
	working bool
}

func gangKey(r *run) (key string) {
	id, k, s, _, _ := split(r.task)
	return fmt.Sprintf("%s.%d.%d#%d", id, k, s, r.number)
}

func (g *gangs) join(m *minion, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	x := g.by[key]
	if x == nil {
		x = &gang{members: map[string]*run{}, minions: map[*run]*minion{}}
		g.by[key] = x
	}
	x.members[r.task], x.minions[r] = r, m
	if len(x.members) == r.step.Count && !x.working {
		x.working = true
		for _, member := range x.members {
			if r.step.LongRunning {
				break
			}
			x.minions[member].endAfter(member, member.step.work(""), "done")
		}
		return
	}
	time.AfterFunc(gangWait, func() {
		g.mu.Lock()
		waits := !x.working
		g.mu.Unlock()
		if waits {
			m.mu.Lock()
			m.finish(r, "alone")
			m.mu.Unlock()
		}
	})
}

// leave breaks the rest of a gang after an end that is not done.
func (g *gangs) leave(r *run, how string) {
	if how == "done" {
		return
	}
	go func() {
		g.mu.Lock()
		x := g.by[gangKey(r)]
		others := map[*run]*minion{}
		if x != nil {
			for _, o := range x.members {
				if o != r {
					others[o] = x.minions[o]
				}
			}
		}
		g.mu.Unlock()
		for o, m := range others {
			m.mu.Lock()
			m.finish(o, "broken")
			m.mu.Unlock()
		}
	}()
}
