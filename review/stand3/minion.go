package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// run is a run of a task on a minion.
type run struct {
	task    string
	n       int
	saved   string
	worked  time.Duration
	dur     time.Duration
	fails   bool
	begun   time.Time
	stopAt  time.Time // when it ends after a stop; zero: no stop
	percent int       // pace
	step    *Step
	gang    string
	joined  bool // all members of its gang were present
}

type end struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
	at    time.Time
	taken bool
}

// minion is a life of a machine.
type minion struct {
	w       *world
	id      string
	zone    string
	rack    string
	label   string
	service string
	addr    string
	cpu     int64
	mem     int64

	// guarded by world.mu
	born     int64
	clock0   time.Time // when its clock showed 0
	fence    int64
	runs     map[string]*run
	ends     []*end
	nextEnd  int64
	acked    int64
	high     map[string]int // highest run that was stopped or has ended here
	lease    int64
	up       bool
	draining bool
	cut      bool    // accepts calls and never reads or answers them
	late     float64 // share of the orders that are carried out 2 to 12 s later
	grey     string  // errors: all that starts fails; hang: nothing goes on
	slow     float64
	seq      int
	wake     chan struct{}
	life     int
	listener net.Listener
	conns    map[net.Conn]bool
}

func (m *minion) clock() int64 { return time.Since(m.clock0).Milliseconds() }

// boot begins a life. The caller holds mu.
func (m *minion) boot() {
	m.born = time.Now().UnixMilli()
	m.clock0 = time.Now().Add(-time.Duration(rand.IntN(100_000)) * time.Millisecond)
	m.fence, m.runs, m.ends, m.nextEnd, m.acked = 0, map[string]*run{}, nil, 1, 0
	m.high, m.lease, m.up, m.draining, m.late, m.grey, m.slow = map[string]int{}, 0, true, false, 0, "", 1
	m.wake, m.conns = make(chan struct{}), map[net.Conn]bool{}
	m.life++
	l, err := net.Listen("tcp", m.addr)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", m.addr)
	}
	check(err)
	m.listener = l
	life := m.life
	mux := http.NewServeMux()
	mux.HandleFunc("/api/", func(w http.ResponseWriter, r *http.Request) { m.handle(life, w, r) })
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if s == http.StateClosed {
			delete(m.conns, c)
		} else if m.life == life {
			m.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	go m.beat(life)
}

// beat registers the minion as long as the life goes on.
func (m *minion) beat(life int) {
	for {
		m.w.mu.Lock()
		if m.life != life || !m.up {
			m.w.mu.Unlock()
			return
		}
		m.seq++
		state := "ready"
		left := 0
		if m.draining {
			state, left = "draining", 500
		}
		v := map[string]any{"Service": m.service, "Address": m.addr, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": state, "RemainingMs": left, "WarmupLeftMs": 0,
			"Capacity": map[string]any{"Cpu": m.cpu, "MemMb": m.mem, "Gpu": 0}, "Labels": []string{m.label, m.rack}, "ClockMs": m.clock(), "Seq": m.seq, "born": m.born}
		m.w.mu.Unlock()
		m.w.store.write("servers/"+m.id, v)
		time.Sleep(1500 * time.Millisecond)
	}
}

// crash ends the life; nothing is said of it. The next one begins after the time down, under the same id.
func (m *minion) crash(down time.Duration) { m.crashAndReturn(down, m.id) }

// crashAndReturn does the same with a new id. An entry is removed after three beats unless the id is back by then.
func (m *minion) crashAndReturn(down time.Duration, id string) {
	old := m.id
	m.w.mu.Lock()
	m.up = false
	m.life++
	life := m.life
	lost := m.runs
	m.runs = map[string]*run{}
	for t, r := range lost {
		m.w.gone(m, t, r.n, "crashed")
		for _, o := range m.w.minions {
			for _, member := range o.runs {
				if r.gang != "" && member.gang == r.gang && member.joined {
					o.finish(member, "broken")
				}
			}
		}
	}
	_ = m.listener.Close()
	conns := m.conns
	m.conns = map[net.Conn]bool{}
	m.w.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	go func() {
		time.Sleep(4500 * time.Millisecond)
		m.w.mu.Lock()
		gone := m.life == life || m.id != old
		m.w.mu.Unlock()
		if gone {
			m.w.store.delete("servers/" + old)
		}
	}()
	if down > 0 {
		time.Sleep(down)
		m.w.mu.Lock()
		m.id = id
		m.boot()
		m.w.mu.Unlock()
	}
}

type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	Fence        int64
	Saved        string
	Percent      int
	AckedThrough int64
	WaitMs       int64
}

func (m *minion) handle(life int, w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(400)
		return
	}
	time.Sleep(500 * time.Microsecond)
	m.w.mu.Lock()
	if m.life != life {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.cut {
		m.w.mu.Unlock()
		time.Sleep(15 * time.Second)
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
		m.w.mu.Unlock()
		w.WriteHeader(421)
		return
	}
	if r.URL.Path != "/api/hold" && rand.Float64() < m.late {
		m.w.mu.Unlock()
		time.Sleep(2*time.Second + time.Duration(rand.IntN(10_000))*time.Millisecond)
		m.w.mu.Lock()
		if m.life == life && m.up {
			m.carryOut(r.URL.Path, o, true)
		}
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := m.carryOut(r.URL.Path, o, false)
	wake := m.wake
	m.w.mu.Unlock()
	if r.URL.Path == "/api/hold" && status == 200 {
		deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	wait:
		for {
			m.w.mu.Lock()
			if m.life != life || m.cut {
				m.w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			body = m.listing()
			wake = m.wake
			pending := len(m.ends) > 0
			m.w.mu.Unlock()
			if pending || o.WaitMs == 0 {
				break
			}
			select {
			case <-wake:
			case <-deadline:
				m.w.mu.Lock()
				body = m.listing()
				m.w.mu.Unlock()
				break wait
			case <-r.Context().Done():
				return
			}
		}
	}
	reply(w, status, body)
}

func (m *minion) listing() map[string]any {
	running := [][]any{}
	for t, r := range m.runs {
		running = append(running, []any{t, r.n, r.saved, r.progress(), r.reading()})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ended := [][]any{}
	for _, e := range m.ends {
		if len(ended) == 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"ClockMs": m.clock(), "born": m.born, "Running": running, "Ended": ended}
}

func (r *run) progress() int {
	if r.step.LongRunning {
		return 100
	}
	return min(99, int(100*r.worked/max(1, r.dur)))
}

func (r *run) reading() int64 {
	if r.step.LongRunning {
		return 5
	}
	return r.step.Cpu
}

// carryOut does what an order says. The caller holds mu.
func (m *minion) carryOut(path string, o order, late bool) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return 409, map[string]any{"ClockMs": m.clock(), "born": m.born, "Reason": reason}
	}
	ok := func() (int, map[string]any) { return 200, map[string]any{"ClockMs": m.clock(), "born": m.born} }
	if o.Fence < m.fence {
		return refuse("fence")
	}
	m.fence = o.Fence
	extend := func() {
		if o.UntilMs > 0 {
			m.lease = max(m.lease, min(o.UntilMs, m.clock()+m.w.holdMax))
		}
	}
	switch path {
	case "/api/run-start":
		if o.UntilMs <= m.clock() {
			return refuse("late")
		}
		extend()
		if r, there := m.runs[o.Task]; there && r.n == o.Run {
			return ok()
		} else if there && r.n > o.Run || o.Run <= m.high[o.Task] {
			return refuse("old")
		}
		j, s := m.w.stepOf(o.Task)
		if j == nil {
			m.w.broken("UNASKED", "start of %s, which no client sent", o.Task)
			return 400, map[string]any{}
		}
		cpu, mem := int64(0), int64(0)
		for _, r := range m.runs {
			if !r.step.Fills {
				cpu += r.step.Cpu
			}
			mem += r.step.MemMb
		}
		need := s.Cpu
		if s.Fills {
			need = 0
		}
		if cpu+need > m.cpu || mem+s.MemMb > m.mem {
			if m.w.guards {
				return refuse("room")
			}
			m.w.broken("LIMIT", "%s on %s", o.Task, m.id)
		}
		m.w.started(m, j, s, o, late)
		r := &run{task: o.Task, n: o.Run, saved: o.Saved, begun: time.Now(), percent: 100, step: s, dur: m.w.duration(j, s, o.Task)}
		r.fails = m.grey == "errors" || j.poison
		if o.Saved != "" {
			if f := strings.Split(o.Saved, "-"); len(f) > 1 {
				ms, _ := strconv.ParseInt(f[1], 16, 64)
				r.worked = time.Duration(ms) * time.Millisecond
			}
		}
		if s.Gang {
			r.gang = gangOf(o.Task, o.Run)
		}
		m.runs[o.Task] = r
		return ok()
	case "/api/run-stop":
		m.high[o.Task] = max(m.high[o.Task], o.Run)
		if r, there := m.runs[o.Task]; there && r.n <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(time.Duration(rand.Int64N(m.w.stopMs)) * time.Millisecond)
		}
		return ok()
	case "/api/pace":
		if r, there := m.runs[o.Task]; there && r.n == o.Run {
			r.percent = o.Percent
		}
		return ok()
	case "/api/hold":
		extend()
		if o.AckedThrough > m.acked {
			m.acked = o.AckedThrough
			for len(m.ends) > 0 && m.ends[0].n <= m.acked {
				m.w.noted(m, m.ends[0])
				m.ends = m.ends[1:]
			}
		}
		return 200, nil
	}
	return 404, map[string]any{}
}

func gangOf(task string, n int) string {
	return task[:strings.LastIndexByte(task, '.')] + "#" + strconv.Itoa(n)
}

// finish ends a run. The caller holds mu.
func (m *minion) finish(r *run, how string) {
	delete(m.runs, r.task)
	m.high[r.task] = max(m.high[r.task], r.n)
	saved := ""
	if r.step.Checkpointing && how != "done" && how != "failed" {
		saved = fmt.Sprintf("%s-%x", r.task, r.worked.Milliseconds())
	}
	e := &end{n: m.nextEnd, task: r.task, run: r.n, how: how, saved: saved, at: time.Now()}
	m.nextEnd++
	m.ends = append(m.ends, e)
	m.w.gone(m, r.task, r.n, how)
	close(m.wake)
	m.wake = make(chan struct{})
}

// tick lets the runs of all minions work.
func (w *world) tick(step time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	gangs := map[string][]*run{}
	place := map[*run]*minion{}
	for _, m := range w.minions {
		if !m.up {
			continue
		}
		if m.clock() > m.lease {
			for _, r := range m.runs {
				m.finish(r, "lapsed")
			}
			w.lapsed(m)
		}
		for _, r := range m.runs {
			place[r] = m
			if r.gang != "" {
				gangs[r.gang] = append(gangs[r.gang], r)
			}
		}
	}
	for r, m := range place {
		if m.runs[r.task] != r {
			continue
		}
		if !r.stopAt.IsZero() && time.Now().After(r.stopAt) {
			m.finish(r, "stopped")
			w.breakGang(r, gangs, place)
			continue
		}
		if m.grey == "hang" {
			continue
		}
		if r.gang != "" && len(gangs[r.gang]) < r.step.Count {
			if w.present(r.gang) >= r.step.Count {
				continue
			}
			if time.Since(r.begun) > w.gangMs && !r.joined {
				m.finish(r, "alone")
			}
			continue
		}
		r.joined = true
		r.worked += time.Duration(float64(step) * float64(r.percent) / 100 / m.slow)
		if r.step.Checkpointing && r.worked > time.Second {
			r.saved = fmt.Sprintf("%s-%x", r.task, (r.worked / time.Second * time.Second).Milliseconds())
		}
		switch {
		case r.fails && r.worked > 150*time.Millisecond:
			m.finish(r, "failed")
			w.breakGang(r, gangs, place)
		case r.step.LongRunning:
		case r.worked >= r.dur:
			m.finish(r, "done")
			if r.gang != "" {
				for _, o := range gangs[r.gang] {
					if o != r && place[o].runs[o.task] == o {
						place[o].finish(o, "done")
					}
				}
			}
		}
	}
}

// present returns how many members of a gang's run are there. The caller holds mu.
func (w *world) present(gang string) int {
	n := 0
	for _, m := range w.minions {
		for _, r := range m.runs {
			if r.gang == gang {
				n++
			}
		}
	}
	return n
}

// breakGang ends the other members of a gang's run. The caller holds mu.
func (w *world) breakGang(r *run, gangs map[string][]*run, place map[*run]*minion) {
	if r.gang == "" {
		return
	}
	for _, o := range gangs[r.gang] {
		if o != r && place[o].runs[o.task] == o && !place[o].cut {
			place[o].finish(o, "broken")
		}
	}
}
