package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

func randomJob() *Job {
	j := &Job{queue: queues[rand.IntN(2)]}
	steps := 1 + rand.IntN(3)
	for i := range steps {
		s := Step{Count: 1 + rand.IntN(8), Cpu: int64(1000 + rand.IntN(12000)), MemMb: int64(1000 + rand.IntN(12000)), EstimateMs: int64(300 + rand.IntN(2500)), Checkpointing: rand.IntN(2) == 0}
		if i > 0 && rand.IntN(4) > 0 {
			s.After = []int{rand.IntN(i)}
		}
		switch rand.IntN(6) {
		case 0:
			s.Gang = true
			s.EstimateMs += 1000
		case 1:
			s.MaxPerServer = 1 + rand.IntN(2)
		case 2:
			s.RequiredLabel = string(rune('a' + rand.IntN(2)))
		case 3:
			s.Fills = true
			s.Image = "f1"
		}
		j.Steps = append(j.Steps, s)
	}
	if rand.IntN(4) == 0 {
		j.Times = 2 + rand.IntN(5)
		j.FirstMs = time.Now().UnixMilli() + int64(rand.IntN(2000))
		j.IntervalMs = int64(300 + rand.IntN(2500))
	}
	switch rand.IntN(12) {
	case 0: // wide
		j.Times = 0
		for i := range j.Steps {
			j.Steps[i].Count, j.Steps[i].Cpu, j.Steps[i].MemMb, j.Steps[i].EstimateMs, j.Steps[i].Gang, j.Steps[i].MaxPerServer = 150+rand.IntN(150), 500, 400, 400, false, 0
		}
	case 1: // many times
		j.Times, j.IntervalMs, j.FirstMs = 40+rand.IntN(40), 250, time.Now().UnixMilli()
		for i := range j.Steps {
			j.Steps[i].Cpu, j.Steps[i].EstimateMs = 500, 300
		}
	}
	if rand.IntN(12) == 0 {
		j.poison = true
	}
	if rand.IntN(10) == 0 {
		j.queue = queues[2]
		j.Times = 0
		j.poison = false
		j.Steps = []Step{{Count: 1 + rand.IntN(6), Cpu: 13000, MemMb: 20000, EstimateMs: 1000, LongRunning: true, Image: "s1", TargetMs: 25}}
	}
	return j
}

func (w *world) trouble(kind string) {
	owner := w.nodeNamed(w.store.owner())
	n := w.nodes[rand.IntN(len(w.nodes))]
	if owner != nil && rand.IntN(2) == 0 {
		n = owner
	}
	m := w.minions[rand.IntN(min(*real, len(w.minions)))]
	w.note("trouble %s %s %s owner %v", kind, n.name, m.id, n == owner)
	switch kind {
	case "kill":
		n.end(syscall.SIGKILL, time.Duration(rand.IntN(3000))*time.Millisecond)
	case "term":
		n.end(syscall.SIGTERM, time.Duration(rand.IntN(1000))*time.Millisecond)
	case "freeze":
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+rand.IntN(3500)) * time.Millisecond)
		n.signal(syscall.SIGCONT)
	case "storecut":
		mode := []string{"silent", "busy", "reset"}[rand.IntN(3)]
		w.store.fault(n.name, storeFault{mode: mode})
		time.Sleep(time.Duration(1000+rand.IntN(5000)) * time.Millisecond)
		w.store.fault(n.name, storeFault{})
	case "storedown", "storelost", "storeslow":
		f := storeFault{mode: []string{"silent", "busy", "reset"}[rand.IntN(3)]}
		if kind == "storelost" {
			f = storeFault{lost: 0.35, late: rand.IntN(2) == 0}
		}
		if kind == "storeslow" {
			f = storeFault{slow: 200 * time.Millisecond}
		}
		for _, n := range w.nodes {
			w.store.fault(n.name, f)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, n := range w.nodes {
			w.store.fault(n.name, storeFault{})
		}
	case "crash":
		m.crash(time.Duration(300+rand.IntN(4000)) * time.Millisecond)
	case "cut":
		w.mu.Lock()
		m.cut = true
		w.mu.Unlock()
		time.Sleep(time.Duration(1000+rand.IntN(11000)) * time.Millisecond)
		w.mu.Lock()
		m.cut = false
		w.mu.Unlock()
	case "late":
		w.mu.Lock()
		for _, m := range w.minions {
			m.late = 0.06
		}
		w.mu.Unlock()
		time.Sleep(5500 * time.Millisecond)
		w.mu.Lock()
		for _, m := range w.minions {
			m.late = 0
		}
		w.mu.Unlock()
	case "config":
		w.mu.Lock()
		w.version += 1 + rand.IntN(4)
		v := w.version
		w.mu.Unlock()
		var qs []*queue
		for i, q := range queues {
			if i > 1 || rand.IntN(3) > 0 {
				qs = append(qs, q)
			}
		}
		w.configure(v, qs)
		time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
		w.mu.Lock()
		w.version++
		v = w.version
		w.mu.Unlock()
		w.configure(v, queues)
	case "evacuate":
		w.store.write("op/evacuate/"+m.zone, map[string]any{})
		time.Sleep(time.Duration(2000+rand.IntN(6000)) * time.Millisecond)
		w.store.delete("op/evacuate/" + m.zone)
	case "drain":
		w.mu.Lock()
		m.draining = true
		w.mu.Unlock()
		time.Sleep(4 * time.Second)
		m.crash(500 * time.Millisecond)
	case "grey":
		w.mu.Lock()
		m.grey = []string{"errors", "hang"}[rand.IntN(2)]
		w.mu.Unlock()
		time.Sleep(5500 * time.Millisecond)
		w.mu.Lock()
		m.grey = ""
		w.mu.Unlock()
	}
	w.note("trouble over %s %s %s", kind, n.name, m.id)
}

func soak() {
	w := newWorld(*dir, *many, []int64{6000, 10000}[rand.IntN(2)], 900, rand.IntN(2) == 0)
	cleanups = append(cleanups, func() { w.end(2) })
	w.version = 1
	w.configure(1, queues)
	for i := range 3 {
		w.addNode(i+1, []string{"atyrau-a", "atyrau-b", "aktau-c"}[i]).start()
	}
	w.awaitReady()
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	all := strings.Split("kill,term,freeze,storecut,storedown,storelost,storeslow,crash,cut,late,grey,config,evacuate,drain", ",")
	if *kinds != "" {
		all = strings.Split(*kinds, ",")
	}
	if *trouble {
		for range 2 {
			go func() {
				for time.Now().Before(end) {
					w.trouble(all[rand.IntN(len(all))])
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
				}
			}()
		}
	}
	for time.Now().Before(end) {
		go func() {
			j := randomJob()
			if !w.submit(j) {
				return
			}
			if rand.IntN(10) == 0 || len(j.Steps) == 1 && j.Steps[0].LongRunning {
				time.Sleep(time.Duration(rand.IntN(12000)) * time.Millisecond)
				w.cancel(j)
			}
			for range 400 {
				time.Sleep(time.Duration(300+rand.IntN(1200)) * time.Millisecond)
				status, state := w.ask(j, w.nodes[rand.IntN(len(w.nodes))])
				w.checkShown(j, status, state)
				if state == "completed" || state == "failed" || state == "cancelled" {
					w.note("final %s %s", j.id, state)
					return
				}
			}
		}()
		time.Sleep(time.Duration(200+rand.IntN(400)) * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	w.mu.Lock()
	open := 0
	for _, j := range w.jobs {
		if !j.accepted.IsZero() && (j.state == "" || j.state == "queued" || j.state == "running") && j.cancelled.IsZero() && !j.Steps[0].LongRunning {
			w.note("still open: %s %s accepted at %.3f times %d", j.id, j.state, j.accepted.Sub(w.begun).Seconds(), j.Times)
			open++
		}
	}
	exits := 0
	for _, n := range w.nodes {
		exits += n.exits
	}
	fmt.Printf("jobs %d open %d exits %d breaks %d\n", len(w.jobs), open, exits, len(w.breaks))
	for _, b := range w.breaks {
		fmt.Println(b)
	}
	status := 0
	if len(w.breaks) > 0 || exits > 0 || open > 0 {
		status = 1
	}
	w.mu.Unlock()
	w.end(status)
}
