package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// chaos plays random jobs under random trouble. It is no case; it looks for one.
func chaos(w *world) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewSource(seed))
	narrow, wide := os.Getenv("NARROW") != "", os.Getenv("WIDE") != ""
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	guards, version := r.Intn(2) == 0, 1
	nodes, minions := 3, 14
	if wide {
		nodes, minions, normal = 4, 640, room{4000, 16000, 0}
	}
	kindOf := func(i int) string {
		if i < 3 || wide && i < 60 {
			return "b"
		}
		return "a"
	}
	if err := w.deployKinds(nodes, minions, guards, kindOf); err != nil {
		return err
	}
	var jobs []*job
	cancelled := map[*job]time.Time{}
	began := time.Now()
	most := 3
	const length = 45 * time.Second
	next := began.Add(2 * time.Second)
	heal := func(after time.Duration, f func()) { time.AfterFunc(after, f) }
	busy := map[string]time.Time{}
	free := func(what string, d time.Duration) bool {
		if time.Now().Before(busy[what]) {
			return false
		}
		busy[what] = time.Now().Add(d)
		return true
	}
	for time.Since(began) < length {
		if len(jobs) < 400 {
			j := randomJob(r)
			if os.Getenv("MANY") != "" { // scheduled jobs of more than 512 tasks in all
				j = randomSchedule(r)
				if len(jobs) >= 12 {
					time.Sleep(200 * time.Millisecond)
					goto disturb
				}
			}
			for _, s := range j.Steps {
				if wide {
					s.Cpu, s.Count = min(s.Cpu, 3500), min(120, s.Count*(1+r.Intn(12)))
					if s.RequiredLabel != "" {
						s.Cpu, s.Count = min(s.Cpu, 1000), min(s.Count, 60)
					}
					if j.Times > 0 {
						j.Times, s.Count = min(j.Times, 4), min(s.Count, 20)
					}
				}
				if narrow {
					s.Count = min(s.Count, 8)
				}
			}
			if w.submit(quick, j) {
				jobs = append(jobs, j)
				if j.Steps[0].LongRunning || r.Intn(15) == 0 {
					if r.Intn(2) == 0 {
						time.AfterFunc(time.Duration(r.Intn(6000))*time.Millisecond, func() {
							if w.cancel(j) {
								w.mu.Lock()
								cancelled[j] = time.Now()
								w.mu.Unlock()
							}
						})
					}
				}
			}
		}
	disturb:
		time.Sleep(time.Duration(50+r.Intn(200)) * time.Millisecond)
		if time.Now().Before(next) || time.Since(began) > length-10*time.Second {
			continue
		}
		next = time.Now().Add(time.Duration(300+r.Intn(3000)) * time.Millisecond)
		k := kinds[r.Intn(len(kinds))]
		o := w.owner()
		if wide {
			n := 1 + r.Intn(20)
			if k == "crash" || k == "reborn" || k == "cut" {
				w.rec.line("%d minions: %s", n, k)
			}
			most = n
		}
		if o == nil || r.Intn(4) == 0 {
			o = w.nodes[r.Intn(len(w.nodes))]
		}
		switch k {
		case "kill":
			if free(o.name, 3*time.Second) {
				o.signal(syscall.SIGKILL)
				<-o.done
				heal(time.Duration(200+r.Intn(2000))*time.Millisecond, func() { _ = o.start() })
			}
		case "term":
			if free(o.name, 7*time.Second) {
				o.signal(syscall.SIGTERM)
				go func() { <-o.done; _ = o.start() }()
			}
		case "stop":
			if free(o.name, 6*time.Second) {
				o.signal(syscall.SIGSTOP)
				heal(time.Duration(500+r.Intn(4500))*time.Millisecond, func() { o.signal(syscall.SIGCONT) })
			}
		case "store":
			how := []string{"silent", "busy", "many", "reset", "lost", "late"}[r.Intn(6)]
			all := r.Intn(3) == 0
			w.rec.line("store: %s for %s, all %v", how, o.name, all)
			for _, n := range w.nodes {
				if all || n == o {
					n.trouble.Store(how)
					heal(time.Duration(500+r.Intn(4500))*time.Millisecond, func() { n.trouble.Store("") })
				}
			}
		case "crash", "reborn":
			for range 1 + r.Intn(most) {
				m := w.minions[r.Intn(len(w.minions))]
				m.mu.Lock()
				up := m.up
				m.mu.Unlock()
				if !up || !free(m.address, 5*time.Second) {
					continue
				}
				m.crash()
				heal(time.Duration(20+r.Intn(3000))*time.Millisecond, func() {
					if k == "crash" {
						m.rename()
					}
					_ = m.start()
				})
			}
		case "cut":
			for range 1 + r.Intn(most) {
				m := w.minions[r.Intn(len(w.minions))]
				if !free(m.address, 13*time.Second) {
					continue
				}
				m.mu.Lock()
				m.cut = true
				m.mu.Unlock()
				w.rec.line("minion %s is cut off", m.id)
				heal(time.Duration(500+r.Intn(12000))*time.Millisecond, func() {
					m.mu.Lock()
					m.cut = false
					m.mu.Unlock()
					w.rec.line("minion %s is reached again", m.id)
				})
			}
		case "grey":
			w.minions[r.Intn(len(w.minions))].turnGrey(time.Duration(500+r.Intn(3000)) * time.Millisecond)
		case "drain":
			m := w.minions[r.Intn(len(w.minions))]
			if !free(m.address, 13*time.Second) {
				continue
			}
			m.mu.Lock()
			m.leaves = true
			life := m.life
			m.mu.Unlock()
			m.register(life)
			heal(3*time.Second, func() {
				m.crash()
				w.store.remove("servers/" + m.id)
				time.Sleep(time.Second)
				m.rename()
				_ = m.start()
			})
		case "evac":
			if !free("evac", 6*time.Second) {
				continue
			}
			z := []string{"za", "zb"}[r.Intn(2)]
			w.store.put("op/evacuate/"+z, map[string]any{})
			heal(4*time.Second, func() { w.store.remove("op/evacuate/" + z) })
		case "cfg":
			version++
			routes := []route{quick}
			for i := range r.Intn(4) {
				x := quick
				x.Name, x.Prefix = fmt.Sprint("r-", i), fmt.Sprintf("/idle%d/", i)
				routes = append(routes, x)
			}
			w.configure(version, guards, routes...)
		case "new":
			if len(w.minions) < 30 {
				_, _ = w.addMinion("desk", "za", "a", "r9", normal, guards)
			}
		case "late", "hang":
			share := 0.06
			w.rec.line("orders: %s", k)
			seed := r.Int63()
			lr := rand.New(rand.NewSource(seed))
			w.setFilter(func(m *minion, path string, o order, late func()) bool {
				w.mu.Lock()
				hit := lr.Float64() < share
				delay := time.Duration(2000+lr.Intn(10000)) * time.Millisecond
				w.mu.Unlock()
				if hit {
					if k == "late" {
						time.AfterFunc(delay, late)
					}
					time.Sleep(2500 * time.Millisecond)
				}
				return !hit
			})
			heal(time.Duration(2000+r.Intn(3500))*time.Millisecond, func() { w.setFilter(nil) })
		}
	}
	w.rec.line("calm from now on")
	time.Sleep(4 * time.Second)
	end := time.Now().Add(35 * time.Second)
	open := jobs
	for time.Now().Before(end) && len(open) > 0 {
		var left []*job
		for _, j := range open {
			s := w.stateAnywhere(j)
			w.mu.Lock()
			_, c := cancelled[j]
			w.mu.Unlock()
			if s == "completed" || c && s == "cancelled" || j.Steps[0].LongRunning && s == "running" || s == "failed" && (j.fails != nil || strings.Contains(os.Getenv("KINDS"), "grey")) {
				continue
			}
			if s == "failed" && !strings.Contains(os.Getenv("KINDS"), "grey") || s == "cancelled" && !c || s == "gone" {
				w.truth.mu.Lock()
				w.truth.broken("LOST", "job %s (%s) is shown as %s", j.id, j.Spec, s)
				w.truth.mu.Unlock()
				continue
			}
			left = append(left, j)
		}
		open = left
		time.Sleep(300 * time.Millisecond)
	}
	for _, j := range open {
		w.truth.mu.Lock()
		w.truth.broken("LOST", "job %s (%s) is shown as %q at the end", j.id, j.Spec, w.stateAnywhere(j))
		w.truth.mu.Unlock()
	}
	w.truth.judge()
	if strings.Trim(os.Getenv("KINDS"), "cfgnew,") == "" {
		w.truth.mu.Lock()
		for task, runs := range w.truth.runs {
			for _, x := range runs {
				if x.how == "alone" {
					w.truth.broken("GANG", "%s run %d ended alone", task, x.run)
				}
			}
		}
		w.truth.mu.Unlock()
	}
	w.truth.mu.Lock()
	for j, at := range cancelled {
		for task, runs := range w.truth.runs {
			if strings.HasPrefix(task, j.id) {
				for _, x := range runs {
					if x.at.After(at.Add(3 * time.Second)) {
						w.truth.broken("UNASKED", "%s run %d starts %d ms after its job's cancelling", task, x.run, x.at.Sub(at).Milliseconds())
					}
				}
			}
		}
	}
	w.truth.mu.Unlock()
	fmt.Println("jobs", len(jobs), "cancelled", len(cancelled))
	return nil
}

func randomJob(r *rand.Rand) *job {
	j := &job{Spec: fmt.Sprint("s", r.Intn(1000))}
	for range 1 + r.Intn(3) {
		s := &step{Count: 1 + r.Intn(6), Cpu: int64(500 + r.Intn(12000)), MemMb: int64(10 + r.Intn(2000)), workMs: int64(100 + r.Intn(2500))}
		s.EstimateMs = s.workMs
		if len(j.Steps) > 0 && r.Intn(2) == 0 {
			s.After = []int{r.Intn(len(j.Steps))}
		}
		switch r.Intn(9) {
		case 0:
			s.Gang = true
		case 1:
			s.RequiredLabel = "b"
		case 2:
			s.MaxPerServer = 1
		case 3:
			s.Checkpointing = true
		case 4:
			s.Fills, s.Image = true, "f1"
		case 5:
			s.Gang, s.RackSensitive = true, true
		}
		j.Steps = append(j.Steps, s)
	}
	switch r.Intn(9) {
	case 0:
		j.Times, j.FirstMs, j.IntervalMs = 1+r.Intn(6), time.Now().UnixMilli()+int64(r.Intn(3000))-1000, int64(200+r.Intn(2000))
	case 1:
		j.Steps = j.Steps[:1]
		j.Steps[0].LongRunning, j.Steps[0].Gang, j.Steps[0].Cpu, j.Steps[0].Fills = true, false, 1000, false
	case 2:
		j.fails = map[string]int{}
		j.id = fmt.Sprintf("%016x", r.Uint64())
		for i := range j.Steps[0].Count {
			if !j.Steps[0].Gang {
				j.fails[name(j.id, 0, 0, i)] = r.Intn(6)
			}
		}
	case 3:
		j.Steps[0].Count = 600
		j.Steps[0].Cpu, j.Steps[0].MemMb, j.Steps[0].MaxPerServer = 50, 1, 0
	}
	return j
}

// randomSchedule returns a job of many small occurrences.
func randomSchedule(r *rand.Rand) *job {
	j := &job{Spec: fmt.Sprint("t", r.Intn(1000)), Times: 60 + r.Intn(60), FirstMs: time.Now().UnixMilli() + int64(r.Intn(2000)), IntervalMs: int64(100 + r.Intn(300))}
	for i := range 1 + r.Intn(3) {
		s := &step{Count: 4 + r.Intn(8), Cpu: int64(100 + r.Intn(900)), MemMb: 10, workMs: int64(50 + r.Intn(900))}
		s.EstimateMs = s.workMs
		if i > 0 {
			s.After = []int{i - 1}
		}
		s.Gang = r.Intn(4) == 0
		s.Checkpointing = !s.Gang && r.Intn(3) == 0
		j.Steps = append(j.Steps, s)
	}
	return j
}
