package main

import (
	"errors"
	"syscall"
	"time"
)

var quick = route{Name: "r-quick", Host: "quick.example", Prefix: "/quick/", Kind: "non_idempotent", TimeoutMs: 3000, TargetRuntimeMs: 250, Priority: 0, Service: "desk", MaxAttempts: 4, Stretch: 1.5}

var normal = room{64000, 256000, 0}

// deploy starts nodes in two zones and n minions, of which the first special ones are of kinds of their own, "b", "c" and so on.
func (w *world) deploy(nodes, n, special int, guards bool) error {
	return w.deployKinds(nodes, n, guards, func(i int) string {
		if i < special {
			return string(rune('b' + i))
		}
		return "a"
	})
}

// deployKinds is deploy with the kinds of the minions given.
func (w *world) deployKinds(nodes, n int, guards bool, kindOf func(i int) string) error {
	w.configure(1, guards, quick)
	for i := range n {
		kind, zone := kindOf(i), "za"
		if i%2 == 1 {
			zone = "zb"
		}
		if _, err := w.addMinion("desk", zone, kind, "r"+string(rune('1'+i/8)), normal, guards); err != nil {
			return err
		}
	}
	for i := range nodes {
		zone := "za"
		if i%2 == 1 {
			zone = "zb"
		}
		if _, err := w.addNode("edge-"+zone+"-"+string(rune('1'+i)), zone); err != nil {
			return err
		}
	}
	return w.startNodes()
}

// edge hands in jobs of every form, without any disruption.
func edge(w *world) error {
	if err := w.deploy(3, 10, 2, false); err != nil {
		return err
	}
	now := time.Now().UnixMilli()
	jobs := map[string]*job{
		"plain":       {Spec: "x", Steps: []*step{{Count: 3, Cpu: 1000, MemMb: 10, EstimateMs: 300, workMs: 300}}},
		"nothing":     {Spec: "", Steps: []*step{{Count: 1, workMs: 100}}},
		"noestimate":  {Spec: "x", Steps: []*step{{Count: 3, Cpu: 1000, workMs: 300}, {Count: 2, MemMb: 5, After: []int{0}, workMs: 100}}},
		"fills0":      {Spec: "x", Steps: []*step{{Count: 3, Fills: true, workMs: 300}}},
		"fills":       {Spec: "x", Steps: []*step{{Count: 3, Fills: true, Cpu: 7000, MemMb: 100, Image: "im1", EstimateMs: 500, workMs: 500, Checkpointing: true}}},
		"gang":        {Spec: "x", Steps: []*step{{Count: 5, Gang: true, Cpu: 20000, MemMb: 100, EstimateMs: 500, workMs: 500}}},
		"gangrack":    {Spec: "x", Steps: []*step{{Count: 5, Gang: true, RackSensitive: true, Cpu: 20000, MemMb: 100, EstimateMs: 500, workMs: 500}, {Count: 2, After: []int{0}, workMs: 100}}},
		"gangmax":     {Spec: "x", Steps: []*step{{Count: 5, Gang: true, MaxPerServer: 1, Cpu: 20000, MemMb: 100, EstimateMs: 500, workMs: 500}}},
		"gangcheck":   {Spec: "x", Steps: []*step{{Count: 3, Gang: true, Checkpointing: true, Speculative: true, Cpu: 2000, MemMb: 100, EstimateMs: 500, workMs: 500}}},
		"timed":       {Spec: "x", Times: 5, FirstMs: now + 2000, IntervalMs: 700, Steps: []*step{{Count: 3, Cpu: 1000, workMs: 900}, {Count: 2, After: []int{0}, workMs: 100}}},
		"timedpast":   {Spec: "x", Times: 4, FirstMs: now - 5000, IntervalMs: 2000, Steps: []*step{{Count: 2, Cpu: 1000, workMs: 300}}},
		"timedgang":   {Spec: "x", Times: 3, FirstMs: now + 1000, IntervalMs: 300, Steps: []*step{{Count: 3, Gang: true, Cpu: 1000, workMs: 900}}},
		"label":       {Spec: "x", Steps: []*step{{Count: 6, RequiredLabel: "b", Cpu: 1000, workMs: 300}}},
		"spec":        {Spec: "<>&\u2028\x01\"\\ é 漢 \U0001F600", Steps: []*step{{Count: 2, Speculative: true, Cpu: 1000, workMs: 300}}},
		"max":         {Spec: "x", Steps: []*step{{Count: 15, MaxPerServer: 2, Cpu: 100, workMs: 300}}},
		"rack":        {Spec: "x", Steps: []*step{{Count: 3, DataRack: "r1", Cpu: 100, workMs: 300}, {Count: 1, DataRack: "nowhere", workMs: 100}}},
		"diamond":     {Spec: "x", Steps: []*step{{Count: 3, Cpu: 100, workMs: 300}, {Count: 2, After: []int{0}, workMs: 100}, {Count: 2, After: []int{0}, workMs: 500}, {Count: 1, After: []int{1, 2}, workMs: 100}}},
		"wide":        {Spec: "x", Steps: []*step{{Count: 1200, Cpu: 10, MemMb: 1, EstimateMs: 100, workMs: 100}, {Count: 2, After: []int{0}, workMs: 100}}},
		"widegang":    {Spec: "x", Steps: []*step{{Count: 700, Gang: true, Cpu: 10, MemMb: 1, EstimateMs: 100, workMs: 100}}},
		"failing":     {Spec: "x", Steps: []*step{{Count: 3, Cpu: 1000, workMs: 100}}},
		"lasting":     {Spec: "x", Steps: []*step{{Count: 3, LongRunning: true, Cpu: 1000}}},
		"lastingt":    {Spec: "x", Steps: []*step{{Count: 3, LongRunning: true, Cpu: 1000, TargetMs: 50, Image: "im2", MayMiss: 1}}},
		"lastinggang": {Spec: "x", Steps: []*step{{Count: 3, LongRunning: true, Gang: true, Cpu: 1000}}},
	}
	jobs["failing"].fails = map[string]int{}
	for label, j := range jobs {
		if !w.submit(quick, j) {
			w.truth.broken("LOST", "%s was not accepted", label)
		}
		if label == "failing" {
			j.fails[name(j.id, 0, 0, 1)] = 2
			j.fails[name(j.id, 0, 0, 2)] = 9
		}
		w.rec.line("job %s is %s", label, j.id)
	}
	time.Sleep(15 * time.Second)
	for label, j := range jobs {
		s := w.stateAnywhere(j)
		w.rec.line("job %s: %s", label, s)
		want := "completed"
		if label == "failing" {
			want = "failed"
		} else if j.Steps[0].LongRunning {
			want = "running"
		}
		if s != want {
			w.truth.broken("LOST", "%s is %s, not %s", label, s, want)
		}
	}
	return nil
}

// await asks for the jobs' states until all have ended well, or for at most limit. A lasting job has to be running then.
func (w *world) await(jobs []*job, limit time.Duration) error {
	last := map[*job]string{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		good := 0
		for _, j := range jobs {
			s := w.stateAnywhere(j)
			if s != last[j] {
				w.rec.line("client: GET %s (%s): %s", j.id, j.Spec, s)
			}
			if (s == "failed" || s == "cancelled" || s == "gone") && last[j] != s {
				w.truth.mu.Lock()
				w.truth.broken("LOST", "job %s (%s) is shown as %s, and none of its runs has ended failed", j.id, j.Spec, s)
				w.truth.mu.Unlock()
			}
			last[j] = s
			if s == "completed" || j.Steps[0].LongRunning && s == "running" {
				good++
			}
		}
		if good == len(jobs) && time.Until(end) < limit-5*time.Second {
			return nil
		}
	}
	return nil
}

// kind lets three of 22 minions crash and come back under their ids, as machines of another kind.
func kind(w *world) error {
	if err := w.deploy(3, 22, 0, true); err != nil {
		return err
	}
	// More work than fits, so that tasks wait for room.
	var all []*job
	for i := range 4 {
		j := &job{Spec: "work", Steps: []*step{{Count: 60, Cpu: 16000, MemMb: 1000, EstimateMs: 3000, RequiredLabel: "a", workMs: int64(2500 + 400*i)}}}
		all = append(all, j)
		if !w.submit(quick, j) {
			return errors.New("a job was not accepted")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		three := w.minions[:3]
		for _, m := range three {
			m.crash()
		}
		time.Sleep(time.Second)
		for _, m := range three {
			m.mu.Lock()
			m.kind = "b"
			m.mu.Unlock()
			if err := m.start(); err != nil { // registers, and then serves
				return err
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
	return w.await(all, 30*time.Second)
}

// wideGang hands in a gang that is wider than the service has minions. One minion crashes as the gang starts, and comes back.
func wideGang(w *world) error {
	if err := w.deploy(3, 20, 0, true); err != nil {
		return err
	}
	j := &job{Spec: "gang", Steps: []*step{{Count: 24, Gang: true, Cpu: 2000, MemMb: 100, EstimateMs: 2000, workMs: 2000}}}
	if !w.submit(quick, j) {
		return errors.New("the job was not accepted")
	}
	if w.trouble {
		m := w.minionOf(name(j.id, 0, 0, 0))
		if m == nil {
			return errors.New("the gang has not started")
		}
		time.Sleep(200 * time.Millisecond)
		m.crash()
		time.Sleep(time.Second)
		m.rename()
		if err := m.start(); err != nil {
			return err
		}
	}
	return w.finishes(j, 25*time.Second)
}

// finishes waits until the job is completed, for at most limit in which nothing disturbs. Otherwise it judges by the
// rule: nothing of the job runs for 3 s, and under half of the service is in use.
func (w *world) finishes(j *job, limit time.Duration) error {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s := w.stateAnywhere(j)
		if s != last {
			w.rec.line("client: GET %s: %s", j.id, s)
		}
		last = s
		if s == "completed" {
			return nil
		}
	}
	idle, used, capacity := w.truth.idleFor(j), int64(0), int64(0)
	for _, m := range w.minions {
		m.mu.Lock()
		used, capacity = used+m.used().Cpu, capacity+m.capacity.Cpu
		m.mu.Unlock()
	}
	w.rec.line("job %s: %q; nothing of it has run for %v; %d of %d cores are in use", j.id, last, idle.Round(time.Millisecond), used/1000, capacity/1000)
	if idle >= 3*time.Second && used < capacity/2 {
		w.truth.mu.Lock()
		defer w.truth.mu.Unlock()
		w.truth.broken("LOST", "job %s is shown as %q %v after the last disruption, and has had nothing running for %v on a service that is idle", j.id, last, limit, idle.Round(time.Second))
	}
	return nil
}

// greyGang hands in a gang, and lets the minion on which most of it runs fail all that it runs.
func greyGang(w *world) error {
	if err := w.deploy(3, 20, 0, true); err != nil {
		return err
	}
	j := &job{Spec: "gang", Steps: []*step{{Count: 6, Gang: true, Cpu: 2000, MemMb: 100, EstimateMs: 2000, workMs: 2000}}}
	if !w.submit(quick, j) {
		return errors.New("the job was not accepted")
	}
	if w.trouble {
		m := w.minionOf(name(j.id, 0, 0, 0))
		if m == nil {
			return errors.New("the gang has not started")
		}
		time.Sleep(time.Second)
		m.turnGrey(3 * time.Second)
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		switch s := w.stateAnywhere(j); s {
		case "completed":
			return nil
		case "failed":
			most, failed := 0, map[int]bool{}
			for i := range j.Steps[0].Count {
				n := 0
				for _, x := range w.truth.of(name(j.id, 0, 0, i)) {
					if x.how == "failed" {
						n++
						failed[x.run] = true
					}
				}
				most = max(most, n)
			}
			w.rec.line("client: GET %s: failed; %d runs of the gang and at most %d runs of one task have ended failed, MaxAttempts is %d", j.id, len(failed), most, quick.MaxAttempts)
			if len(failed) < quick.MaxAttempts && most < quick.MaxAttempts {
				w.truth.mu.Lock()
				defer w.truth.mu.Unlock()
				w.truth.broken("LOST", "job %s is shown as failed after %d runs of its gang have ended failed, at most %d of one task; MaxAttempts is %d", j.id, len(failed), most, quick.MaxAttempts)
			}
			return nil
		}
	}
	return errors.New("the job has not ended")
}

// minionOf waits until the task has started, and returns its minion, nil if it does not start.
func (w *world) minionOf(task string) *minion {
	for range 500 {
		if runs := w.truth.of(task); len(runs) > 0 {
			for _, x := range w.minions {
				if x.id == runs[0].minion {
					return x
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// shards hands in a job of 600 tasks on a service of 602 minions, which the system divides into two shards, and kills the
// owner of the job's shard while the job runs.
func shards(w *world) error {
	normal = room{4000, 16000, 0}
	kinds := func(i int) string {
		if i < 40 {
			return "b"
		}
		return "a"
	}
	if err := w.deployKinds(4, 602, true, kinds); err != nil {
		return err
	}
	j := &job{Spec: "wide", Steps: []*step{{Count: 600, Cpu: 1000, MemMb: 100, EstimateMs: 400, RequiredLabel: "b", workMs: 400}}}
	if !w.submit(quick, j) {
		return errors.New("the job was not accepted")
	}
	m := w.minionOf(name(j.id, 0, 0, 0))
	if m == nil {
		return errors.New("the job has not started")
	}
	if w.trouble {
		for w.truth.dones(j) < 300 {
			time.Sleep(10 * time.Millisecond)
		}
		n := w.ownerOf(m.zone)
		if n == nil {
			return errors.New("no owner of the shard is known")
		}
		n.signal(syscall.SIGKILL)
		<-n.done
		time.Sleep(3 * time.Second)
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if s := w.stateAnywhere(j); s == "completed" {
			w.rec.line("client: GET %s: %s", j.id, s)
			break
		}
	}
	time.Sleep(2 * time.Second)
	w.truth.judge()
	return nil
}
