package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Step is a step of a job on the wire.
type Step struct {
	Count         int
	Cpu           int64
	MemMb         int64
	EstimateMs    int64
	After         []int  `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	Image         string `json:",omitempty"`
	TargetMs      int64  `json:",omitempty"`
	Fills         bool   `json:",omitempty"`
	Speculative   bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
}

// Job is a job as its client sends it, and what became of it.
type Job struct {
	Spec       string
	Steps      []Step
	Times      int   `json:",omitempty"`
	FirstMs    int64 `json:",omitempty"`
	IntervalMs int64 `json:",omitempty"`

	id        string
	queue     *queue
	poison    bool
	accepted  time.Time
	rejected  bool // all tries were rejected
	cancelled time.Time
	state     string
}

type queue struct {
	Name, Host, Prefix, Kind string
	TimeoutMs                int
	TargetRuntimeMs          int
	Priority                 int
	Service                  string
	MaxAttempts              int
	Stretch                  float64
}

type taskRecord struct {
	active map[string]int // minion to run
	starts []time.Time
	ends   []*endRecord
	done   bool
	failed []*endRecord
}

type endRecord struct {
	m      *minion
	life   int
	e      *end
	lapsed bool
}

// world is everything that the programs meet.
type world struct {
	store   *store
	dir     string
	net     string
	holdMax int64
	stopMs  int64
	gangMs  time.Duration
	guards  bool
	out     *os.File

	mu      sync.Mutex
	minions []*minion
	jobs    map[string]*Job
	tasks   map[string]*taskRecord
	breaks  []string
	events  int

	nodes []*node
	begun time.Time

	version int
}

func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// broken records a broken rule. The caller holds mu.
func (w *world) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	w.note("BROKEN %s", text)
}

func (w *world) task(id string) *taskRecord {
	t, ok := w.tasks[id]
	if !ok {
		t = &taskRecord{active: map[string]int{}}
		w.tasks[id] = t
	}
	return t
}

func split(task string) (job string, k, step, index int) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return "", 0, 0, 0
	}
	k, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	index, _ = strconv.Atoi(f[3])
	return f[0], k, step, index
}

// stepOf returns the job and the step of a task, nil if nobody sent it.
func (w *world) stepOf(task string) (*Job, *Step) {
	id, k, step, index := split(task)
	j, ok := w.jobs[id]
	if !ok || step >= len(j.Steps) || index >= j.Steps[step].Count || k >= max(1, j.Times) {
		return nil, nil
	}
	return j, &j.Steps[step]
}

func (w *world) duration(j *Job, s *Step, task string) time.Duration {
	h := uint64(0)
	for _, c := range task {
		h = h*31 + uint64(c)
	}
	return time.Duration(float64(s.EstimateMs)*(0.7+0.6*float64(h%100)/100)) * time.Millisecond
}

// started checks a start that a minion carries out. The caller holds mu.
func (w *world) started(m *minion, j *Job, s *Step, o order, late bool) {
	t := w.task(o.Task)
	now := time.Now()
	w.note("start %s run %d on %s fence %d late %v saved %q", o.Task, o.Run, m.id, o.Fence, late, o.Saved)
	for id, n := range t.active {
		if !s.Speculative && !(id == m.id && n == o.Run) {
			w.broken("TWICE", "%s run %d on %s while run %d is at work on %s", o.Task, o.Run, m.id, n, id)
		}
	}
	for _, r := range t.ends {
		if r.e.how == "done" && r.e.taken && !r.lapsed && !s.LongRunning && !s.Speculative {
			w.broken("TWICE", "%s run %d on %s after run %d had ended done and was taken note of", o.Task, o.Run, m.id, r.e.run)
		}
	}
	failed := map[int]bool{}
	for _, r := range t.ends {
		if r.e.how == "failed" && r.e.taken && !r.lapsed {
			failed[r.e.run] = true
		}
	}
	if len(failed) >= j.queue.MaxAttempts && !s.LongRunning {
		w.broken("BUDGET", "%s run %d on %s after %d failed runs", o.Task, o.Run, m.id, len(failed))
	}
	id, k, step, _ := split(o.Task)
	for _, after := range s.After {
		for i := range j.Steps[after].Count {
			if !w.isDone(j, k, after, i) {
				w.broken("ORDER", "%s before step %d is done (%d)", o.Task, after, i)
				break
			}
		}
	}
	if j.Times > 0 && now.UnixMilli() < j.FirstMs+int64(k)*j.IntervalMs-250 {
		w.broken("ORDER", "%s before its time", o.Task)
	}
	if o.Spec != j.Spec {
		w.broken("UNASKED", "%s with another Spec", o.Task)
	}
	if o.Saved != "" && !(strings.HasPrefix(o.Saved, o.Task+"-") || s.Gang && strings.HasPrefix(o.Saved, fmt.Sprintf("%s.%d.%d.", id, k, step))) {
		w.broken("UNASKED", "%s with Saved %q", o.Task, o.Saved)
	}
	if !late && !j.cancelled.IsZero() && now.Sub(j.cancelled) > 3*time.Second {
		w.broken("UNASKED", "%s %.1f s after its job was cancelled", o.Task, now.Sub(j.cancelled).Seconds())
	}
	if j.rejected {
		w.broken("REFUSED", "%s of a job that was rejected", o.Task)
	}
	if j.queue.Service != m.service || s.RequiredLabel != "" && s.RequiredLabel != m.label && s.RequiredLabel != m.rack {
		w.broken("ROUTE", "%s on %s", o.Task, m.id)
	}
	if s.MaxPerServer > 0 {
		n := 1
		prefix := fmt.Sprintf("%s.%d.%d.", id, k, step)
		for other := range m.runs {
			if strings.HasPrefix(other, prefix) {
				n++
			}
		}
		if n > s.MaxPerServer {
			w.broken("ROUTE", "%d of %s on %s", n, prefix, m.id)
		}
	}
	t.active[m.id] = o.Run
	t.starts = append(t.starts, now)
}

// isDone reports whether a run of the task has ended done. The caller holds mu.
func (w *world) isDone(j *Job, k, step, index int) bool {
	s := &j.Steps[step]
	if s.Gang {
		for i := range s.Count {
			if t, ok := w.tasks[fmt.Sprintf("%s.%d.%d.%d", j.id, k, step, i)]; ok && t.done {
				return true
			}
		}
		return false
	}
	t, ok := w.tasks[fmt.Sprintf("%s.%d.%d.%d", j.id, k, step, index)]
	return ok && t.done
}

// gone records that a run is over. The caller holds mu.
func (w *world) gone(m *minion, task string, n int, how string) {
	t := w.task(task)
	if t.active[m.id] == n {
		delete(t.active, m.id)
	}
	if how == "done" {
		t.done = true
	}
	if how != "crashed" && len(m.ends) > 0 {
		t.ends = append(t.ends, &endRecord{m: m, life: m.life, e: m.ends[len(m.ends)-1]})
	}
	w.note("end %s run %d on %s %s", task, n, m.id, how)
}

// lapsed records that a minion's lease has lapsed: what has ended before and is not noted yet does not count. The caller holds mu.
func (w *world) lapsed(m *minion) {
	for _, t := range w.tasks {
		for _, r := range t.ends {
			if r.m == m && r.life == m.life && !r.e.taken {
				r.lapsed = true
			}
		}
	}
}

// noted is called when an end is taken note of. The caller holds mu.
func (w *world) noted(m *minion, e *end) {
	e.taken = true
	t := w.task(e.task)
	j, s := w.stepOf(e.task)
	if j == nil {
		return
	}
	for _, r := range t.ends {
		if r.e != e || r.lapsed || m.clock() > m.lease && m.lease > 0 {
			continue
		}
		after := 0
		for _, at := range t.starts {
			if at.After(e.at) {
				after++
			}
		}
		if e.how == "done" && after > 0 && !s.LongRunning && !s.Speculative {
			w.broken("TWICE", "run %d of %s ended done on %s and is taken note of, %d starts later", e.run, e.task, m.id, after)
		}
		if e.how == "failed" && !s.LongRunning {
			var failed []time.Time
			for _, o := range t.ends {
				if o.e.how == "failed" && o.e.taken && !o.lapsed {
					failed = append(failed, o.e.at)
				}
			}
			for _, at := range t.starts {
				n := 0
				for _, f := range failed {
					if f.Before(at) {
						n++
					}
				}
				if n >= j.queue.MaxAttempts {
					w.broken("BUDGET", "a start of %s after %d failed runs", e.task, n)
				}
			}
		}
	}
}

// node is an entry host with its process.
type node struct {
	w       *world
	name    string
	ip      string
	front   string
	ready   string
	zone    string
	path    string
	cmd     *exec.Cmd
	exits   int
	mu      sync.Mutex
	wanted  bool
	logs    *os.File
	started time.Time
}

func (w *world) addNode(i int, zone string) *node {
	n := &node{w: w, name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s.%d", w.net, 10+i), zone: zone}
	n.front, n.ready = n.ip+":8161", n.ip+":8167"
	w.store.serve(n.name, fmt.Sprintf("%s.1:%d", w.net, 9000+i))
	bounds := map[string]any{"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigMs": 2000,
		"RollbackSlackMs": 250, "MaxStretchMs": 5000, "EvacuateMs": 5000, "RecoverS": 12, "HoldMaxMs": w.holdMax, "StopMs": w.stopMs, "GangMs": 3000, "cancel_ms": 3000,
		"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "FarX": 1.5, "SaveS": 1, "RestoreMs": 100, "NoticeMs": 4500, "LeaseMs": 3000, "ThawMs": 300, "PaceMs": 100, "HarmMs": 4000}
	settings := map[string]any{"Node": n.name, "Role": "scheduler", "MachineClass": "edge", "Serves": []string{"edge"}, "Ip": n.ip, "Zone": zone, "Region": "kz-west",
		"Listen": map[string]any{"Front": n.front, "Ready": n.ready}, "InternalPorts": []int{7720, 7735}, "Seeds": []string{}, "Bootstrap": true,
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}, "DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
		"Contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"}, "Bounds": bounds, "Orders": "rpc",
		"platform": map[string]any{"Address": fmt.Sprintf("%s.1:%d", w.net, 9000+i), "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000}}
	b, err := json.Marshal(settings)
	check(err)
	n.path = filepath.Join(w.dir, n.name+".json")
	check(os.WriteFile(n.path, b, 0o644))
	n.logs, err = os.Create(filepath.Join(w.dir, n.name+".log"))
	check(err)
	w.nodes = append(w.nodes, n)
	return n
}

// spawns starts processes on one thread, which never ends: a process is killed with the thread that started it.
var spawns = func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
}()

// start starts the process as the deploy file does.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = true
	n.spawn()
}

func (n *node) spawn() {
	cmd := exec.Command(filepath.Join(*root, "target", "dotterscheduler"), "--admission")
	cmd.Dir = *root
	cmd.Env = append(os.Environ(), "DOTTERELUSHER_BOOT="+n.path)
	cmd.Stdout, cmd.Stderr = n.logs, n.logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawns <- func() { started <- cmd.Start() }
	check(<-started)
	n.cmd, n.started = cmd, time.Now()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cmd != cmd || !n.wanted {
			return
		}
		n.exits++
		n.w.note("process of %s ended by itself: %v", n.name, err)
		time.Sleep(300 * time.Millisecond)
		n.spawn()
	}()
}

// end sends a signal that ends the process, and starts it again later.
func (n *node) end(s syscall.Signal, down time.Duration) {
	n.mu.Lock()
	if !n.wanted {
		n.mu.Unlock()
		return
	}
	n.wanted = false
	cmd := n.cmd
	n.mu.Unlock()
	n.w.note("%v to %s", s, n.name)
	_ = cmd.Process.Signal(s)
	done := make(chan struct{})
	go func() { _, _ = cmd.Process.Wait(); close(done) }()
	if s == syscall.SIGTERM {
		for i := 0; i < 65 && syscall.Kill(cmd.Process.Pid, 0) == nil; i++ {
			time.Sleep(100 * time.Millisecond)
		}
		_ = cmd.Process.Kill()
	}
	time.Sleep(down)
	if down >= 0 {
		n.start()
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.note("%v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

func (w *world) nodeNamed(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

var cleanups []func()

func cleanup() {
	for _, f := range cleanups {
		f()
	}
	os.Exit(2)
}

func newWorld(dir string, minions int, holdMax, stopMs int64, guards bool) *world {
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	w := &world{store: newStore(), dir: dir, holdMax: holdMax, stopMs: stopMs, gangMs: 3 * time.Second, guards: guards, out: out,
		jobs: map[string]*Job{}, tasks: map[string]*taskRecord{}, begun: time.Now()}
	for i := 0; ; i++ {
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", w.net+".11:9464")
		if err == nil {
			_ = l.Close()
			break
		}
		if i > 20 {
			check(err)
		}
	}
	zones := []string{"atyrau-a", "atyrau-b", "aktau-c"}
	for i := range minions {
		m := &minion{w: w, id: fmt.Sprintf("i-%08x", 0x1000+i), zone: zones[i%3], rack: fmt.Sprintf("r%d-%d", i%3, i/12), label: string(rune('a' + i%2)), service: "desk",
			addr: fmt.Sprintf("%s.%d:%d", w.net, 100+i%100, 8080+i/100), cpu: 64000, mem: 256000}
		if minions > 100 {
			m.rack = fmt.Sprintf("r%d-%d", i%3, i/30)
			if i%640 >= *real {
				m.cpu, m.mem = 100, 100
			}
		}
		w.minions = append(w.minions, m)
	}
	w.mu.Lock()
	for _, m := range w.minions {
		m.boot()
	}
	w.mu.Unlock()
	go func() {
		last := time.Now()
		for {
			time.Sleep(10 * time.Millisecond)
			now := time.Now()
			w.tick(now.Sub(last))
			last = now
		}
	}()
	return w
}

var queues = []*queue{
	{Name: "r-1", Host: "desk.example", Prefix: "/lot/", Kind: "non_idempotent", TimeoutMs: 3000, TargetRuntimeMs: 250, Priority: 0, Service: "desk", MaxAttempts: 4, Stretch: 1.5},
	{Name: "r-2", Host: "desk.example", Prefix: "/season/", Kind: "non_idempotent", TimeoutMs: 3000, TargetRuntimeMs: 1000, Priority: 2, Service: "desk", MaxAttempts: 2, Stretch: 2},
	{Name: "r-3", Host: "desk.example", Prefix: "/catch/", Kind: "non_idempotent", TimeoutMs: 3000, TargetRuntimeMs: 2500, Priority: 0, Service: "desk", MaxAttempts: 4, Stretch: 2.2},
}

func (w *world) configure(version int, qs []*queue) {
	w.store.write("op/config", map[string]any{"Version": version, "Routes": qs, "Services": []any{map[string]any{"Name": "desk", "RejectsOverload": w.guards}},
		"Limits": map[string]any{"MaxBodyBytes": 262144, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	w.note("configuration %d acknowledged, %d routes", version, len(qs))
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range w.nodes {
		for {
			r, err := http.Get("http://" + n.ready + "/api/readyz")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", n.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	w.note("ready, owner %s", w.store.owner())
}

var client = &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request as a client does, and returns its status, 0 without an answer.
func (w *world) call(n *node, method string, q *queue, id string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+n.front+q.Prefix+id, bytes.NewReader(body))
	check(err)
	r.Host = q.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	a, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(b)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, at any node, up to five times.
func (w *world) submit(j *Job) bool {
	j.id = newID()
	j.Spec = "spec of " + j.id
	body, err := json.Marshal(j)
	check(err)
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	rejected := true
	for try := range 5 {
		n := w.nodes[rand.IntN(len(w.nodes))]
		status, text := w.call(n, "POST", j.queue, j.id, body)
		w.note("submit %s to %s try %d: %d %s", j.id, n.name, try, status, text)
		if status == 200 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			if rand.IntN(20) == 0 {
				go func() {
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
					n := w.nodes[rand.IntN(len(w.nodes))]
					status, _ := w.call(n, "POST", j.queue, j.id, body)
					w.note("again %s to %s: %d", j.id, n.name, status)
				}()
			}
			return true
		}
		if status != 429 && status != 503 && status != 404 {
			rejected = false
		}
		time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
	}
	if rejected {
		w.mu.Lock()
		j.rejected = true
		for t := range w.tasks {
			if strings.HasPrefix(t, j.id) {
				w.broken("REFUSED", "%s started", t)
			}
		}
		w.mu.Unlock()
	}
	return false
}

// ask asks for a job's state.
func (w *world) ask(j *Job, n *node) (int, string) {
	status, text := w.call(n, "GET", j.queue, j.id, nil)
	var b struct{ State string }
	_ = json.Unmarshal([]byte(text), &b)
	return status, b.State
}

// checkShown checks the state that is shown of a job.
func (w *world) checkShown(j *Job, status int, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == 410 && !j.accepted.IsZero() && j.cancelled.IsZero() && time.Since(j.accepted) > 3*time.Second:
		w.broken("LOST", "%s is not known", j.id)
	case state == "completed":
		for k := range max(1, j.Times) {
			for s := range j.Steps {
				for i := range j.Steps[s].Count {
					if !w.isDone(j, k, s, i) {
						w.broken("MIXED", "%s is shown as completed, %d.%d.%d is not done", j.id, k, s, i)
						return
					}
				}
			}
		}
	case state == "failed" && !j.poison:
		most := 0
		gangs := map[string]map[int]bool{}
		for id, t := range w.tasks {
			if strings.HasPrefix(id, j.id) {
				n := 0
				for _, r := range t.ends {
					if r.e.how == "failed" {
						n++
						g := id[:strings.LastIndexByte(id, '.')]
						if gangs[g] == nil {
							gangs[g] = map[int]bool{}
						}
						gangs[g][r.e.run] = true
						if _, s := w.stepOf(id); s != nil && s.Gang {
							most = max(most, len(gangs[g]))
						}
					}
				}
				most = max(most, n)
			}
		}
		if most < j.queue.MaxAttempts {
			w.broken("LOST", "%s is shown as failed, at most %d runs of a task have failed", j.id, most)
		}
	case state == "cancelled" && j.cancelled.IsZero():
		w.broken("LOST", "%s is shown as cancelled", j.id)
	}
	if state != "" {
		j.state = state
	}
}

func (w *world) cancel(j *Job) {
	for range 5 {
		n := w.nodes[rand.IntN(len(w.nodes))]
		status, text := w.call(n, "DELETE", j.queue, j.id, nil)
		w.note("cancel %s at %s: %d %s", j.id, n.name, status, text)
		if status == 200 || status == 410 {
			w.mu.Lock()
			j.cancelled = time.Now()
			if status == 410 && !j.accepted.IsZero() {
				w.broken("LOST", "%s is not known to the cancel", j.id)
			}
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// end ends everything and exits.
func (w *world) end(status int) {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.wanted = false
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	w.note("exit %d", status)
	_ = w.out.Close()
	os.Exit(status)
}
