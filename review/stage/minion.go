package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as the users' pages give them for kbq-dispatch.
const (
	holdMax   = 10 * time.Second
	stopTime  = 900 * time.Millisecond
	gangWait  = 3 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// room is what a minion has and a task asks for.
type room struct{ Cpu, MemMb, Gpu int64 }

func (r room) add(o room, sign int64) room {
	return room{r.Cpu + sign*o.Cpu, r.MemMb + sign*o.MemMb, r.Gpu + sign*o.Gpu}
}

func (r room) fits(in room) bool { return r.Cpu <= in.Cpu && r.MemMb <= in.MemMb && r.Gpu <= in.Gpu }

// run is a run of a task on a minion.
type run struct {
	task     string
	number   int
	step     *step
	begun    time.Time
	saved    string
	stopping bool
	over     bool
}

// end is a row of a minion's list of ends.
type end struct {
	n      int
	task   string
	run    int
	how    string
	saved  string
	lapsed bool // whether the lease has lapsed since
}

// minion is a stand-in for one minion, with its lives one after the other. Its address stays.
type minion struct {
	world    *world
	id, zone string
	service  string
	address  string

	mu       sync.Mutex
	kind     string
	rack     string
	capacity room
	guards   bool
	up       bool
	life     int
	born     time.Time
	fence    int64
	lease    time.Duration // on its clock
	running  map[string]*run
	ended    []end
	lastEnd  int
	refused  map[string]int // by task: the highest run that has ended or was stopped here
	noted    chan struct{}  // closed when a run ends
	server   *http.Server
	seq      int
	told     string // the state in its entry; empty: it has none in this life
	grey     bool   // whether it fails all that it runs
	cut      bool   // whether the system's calls don't reach it
	leaves   bool   // whether it drains
}

// clock returns the time on the minion's own clock, which starts anew with each life.
func (m *minion) clock() time.Duration { return time.Since(m.born) + 1000*time.Millisecond }

// rename gives the minion's next life another id.
func (m *minion) rename() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id = fmt.Sprintf("i-%08x", m.world.random.Uint32())
}

// start begins a life of the minion: it registers, and then serves calls.
func (m *minion) start() error {
	m.mu.Lock()
	m.life++
	m.up, m.born = true, time.Now()
	m.fence, m.lease, m.lastEnd, m.ended = 0, 0, 0, nil
	m.running, m.refused, m.noted = map[string]*run{}, map[string]int{}, make(chan struct{})
	m.seq, m.grey, m.leaves, m.told = 0, false, false, ""
	life := m.life
	m.mu.Unlock()
	m.register(life)
	var l net.Listener
	var err error
	for try := 0; try < 100; try++ {
		if l, err = net.Listen("tcp", m.listenAddress()); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.address = l.Addr().String()
	first := m.life == 1
	m.mu.Unlock()
	if first {
		m.register(life)
	}
	mux := http.NewServeMux()
	handle := func(path string, f func(http.ResponseWriter, *http.Request, order)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { m.serve(life, w, r, f) })
	}
	handle("/api/run-start", m.runStart)
	handle("/api/run-stop", m.runStop)
	handle("/api/hold", m.hold)
	handle("/api/pace", m.pace)
	server := &http.Server{Handler: mux}
	m.mu.Lock()
	m.server = server
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go m.live(life)
	m.world.rec.line("minion %s: life %d begins at %s, kind %s, %d cores", m.id, life, m.address, m.kind, m.capacity.Cpu/1000)
	return nil
}

func (m *minion) listenAddress() string {
	if m.address != "" {
		return m.address
	}
	return "127.0.0.1:0"
}

// register writes the minion's entry. A heartbeat that changes nothing but Seq leaves the entry as it is.
func (m *minion) register(life int) {
	m.mu.Lock()
	if !m.up || m.life != life || m.address == "" {
		m.mu.Unlock()
		return
	}
	m.seq++
	state := "ready"
	if m.leaves {
		state = "draining"
	}
	if state == m.told {
		m.mu.Unlock()
		return
	}
	m.told = state
	entry := map[string]any{
		"Service": m.service, "Address": m.address, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": state, "WarmupLeftMs": 0,
		"Capacity": m.capacity, "Labels": []string{m.kind, m.rack}, "ClockMs": m.clock().Milliseconds(), "Seq": m.seq, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	m.world.store.put("servers/"+m.id, entry)
}

// live writes heartbeats and ends what has no lease any more.
func (m *minion) live(life int) {
	beat := time.Now()
	for {
		time.Sleep(20 * time.Millisecond)
		m.mu.Lock()
		if m.life != life || !m.up {
			m.mu.Unlock()
			return
		}
		if m.clock() > m.lease {
			for i := range m.ended {
				m.ended[i].lapsed = true
			}
			for _, r := range m.running {
				m.finish(r, "lapsed")
			}
		}
		m.mu.Unlock()
		if time.Since(beat) >= heartbeat {
			beat = time.Now()
			m.register(life)
		}
	}
}

// crash ends the minion's life. Its connections close, and nothing tells of it.
func (m *minion) crash() {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	server := m.server
	for _, r := range m.running {
		r.over = true
		m.world.truth.end(m, r, "crash")
	}
	m.running = map[string]*run{}
	m.world.rec.line("minion %s: life %d ends in a crash", m.id, m.life)
	m.mu.Unlock()
	_ = server.Close()
	crashed, id := m.life, m.id
	time.AfterFunc(3*heartbeat, func() {
		m.mu.Lock()
		gone := m.id != id || !m.up && m.life == crashed
		m.mu.Unlock()
		if gone {
			m.world.store.remove("servers/" + id)
		}
	})
}

// order is the body of a call to a minion.
type order struct {
	Task, Spec, Saved                             string
	Run                                           int
	UntilMs, Fence, AckedThrough, WaitMs, Percent int64
}

func (m *minion) serve(life int, w http.ResponseWriter, r *http.Request, f func(http.ResponseWriter, *http.Request, order)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !m.world.passes(m, r.URL.Path, o, func() { m.late(life, r, o, f) }) {
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	alive, cut := m.up && m.life == life, m.cut
	m.mu.Unlock()
	if cut {
		<-r.Context().Done()
	}
	if !alive || cut {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f(w, r, o)
}

// late carries an order out whose caller has long stopped waiting.
func (m *minion) late(life int, r *http.Request, o order, f func(http.ResponseWriter, *http.Request, order)) {
	m.mu.Lock()
	alive := m.up && m.life == life
	m.mu.Unlock()
	if alive {
		defer func() { _ = recover() }() // a hold that is aborted has nobody to tell
		m.world.rec.line("minion %s: late order %s %s run %d", m.id, r.URL.Path, o.Task, o.Run)
		f(discard{}, r, o)
	}
}

type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (m *minion) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"ClockMs": m.clock().Milliseconds()}
	status := http.StatusOK
	if reason != "" {
		body["Reason"], status = reason, http.StatusConflict
	}
	reply(w, status, body)
}

// admits applies the fencing token of a call; the lock is held.
func (m *minion) admits(o order) bool {
	if o.Fence < m.fence {
		return false
	}
	m.fence = o.Fence
	return true
}

func (m *minion) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, m.clock()+holdMax)
	m.lease = max(m.lease, until)
}

func (m *minion) used() room {
	var sum room
	for _, r := range m.running {
		sum = sum.add(r.step.room(), 1)
	}
	return sum
}

func (m *minion) runStart(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := o.Task + "#" + strconv.Itoa(o.Run)
	s := m.world.stepOf(o.Task)
	switch {
	case !m.admits(o):
		m.answer(w, "fence")
		return
	case m.running[key] != nil:
		m.extend(o.UntilMs)
		m.answer(w, "")
		return
	case o.Run <= m.refused[o.Task]:
		m.extend(o.UntilMs)
		m.answer(w, "old")
		return
	case time.Duration(o.UntilMs)*time.Millisecond <= m.clock():
		m.answer(w, "late")
		return
	case s == nil:
		m.world.truth.unasked(m, o)
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.guards && !m.used().add(s.room(), 1).fits(m.capacity):
		m.extend(o.UntilMs)
		m.answer(w, "room")
		return
	}
	m.extend(o.UntilMs)
	r := &run{task: o.Task, number: o.Run, step: s, begun: time.Now(), saved: o.Saved}
	m.running[key] = r
	m.world.truth.start(m, r, o)
	if m.grey {
		m.endAfter(r, 100*time.Millisecond, "failed")
	}
	if s.Gang {
		m.world.gangs.join(m, r)
	} else if !s.LongRunning {
		m.endAfter(r, s.work(o.Saved), m.world.outcome(o.Task, o.Run))
	}
	m.answer(w, "")
}

// turnGrey makes the minion fail all that it runs, now and until it is well again. It still answers and sends heartbeats.
func (m *minion) turnGrey(length time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grey = true
	m.world.rec.line("minion %s: unhealthy, fails all that it runs", m.id)
	for _, r := range m.running {
		m.finish(r, "failed")
	}
	time.AfterFunc(length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.grey = false
		m.world.rec.line("minion %s: healthy again", m.id)
	})
}

// endAfter ends the run after its work, unless something else ends it before.
func (m *minion) endAfter(r *run, work time.Duration, how string) {
	time.AfterFunc(work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(r, how)
	})
}

// finish ends a run and lists its end; the lock is held.
func (m *minion) finish(r *run, how string) {
	key := r.task + "#" + strconv.Itoa(r.number)
	if r.over || m.running[key] != r {
		return
	}
	r.over = true
	delete(m.running, key)
	m.refused[r.task] = max(m.refused[r.task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, end{m.lastEnd, r.task, r.number, how, r.step.progress(r), false})
	close(m.noted)
	m.noted = make(chan struct{})
	m.world.truth.end(m, r, how)
	if r.step.Gang {
		m.world.gangs.leave(r, how)
	}
}

func (m *minion) runStop(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admits(o) {
		m.answer(w, "fence")
		return
	}
	m.refused[o.Task] = max(m.refused[o.Task], o.Run)
	if r := m.running[o.Task+"#"+strconv.Itoa(o.Run)]; r != nil && !r.stopping {
		r.stopping = true
		m.endAfter(r, stopTime/2, "stopped")
	}
	m.answer(w, "")
}

func (m *minion) pace(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admits(o) {
		m.answer(w, "fence")
		return
	}
	m.answer(w, "")
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admits(o) {
		m.answer(w, "fence")
		return
	}
	for len(m.ended) > 0 && m.ended[0].n <= int(o.AckedThrough) {
		if !m.ended[0].lapsed {
			m.world.truth.noted(m, m.ended[0])
		}
		m.ended = m.ended[1:]
	}
	if o.UntilMs > 0 {
		m.extend(o.UntilMs)
	}
	if wait := time.Duration(min(o.WaitMs, 2000)) * time.Millisecond; wait > 0 && len(m.ended) == 0 {
		noted, life := m.noted, m.life
		m.mu.Unlock()
		select {
		case <-noted:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		m.mu.Lock()
		if m.cut {
			m.mu.Unlock()
			<-r.Context().Done()
			m.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if !m.up || m.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	runs, ends := [][]any{}, [][]any{}
	for _, x := range m.running {
		runs = append(runs, []any{x.task, x.number, x.step.progress(x), x.step.percent(x), 0})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "Running": runs, "Ended": ends})
}

// split returns the parts of a task's name.
func split(task string) (job string, k, step, index int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil {
			return "", 0, 0, 0, false
		}
		n[i] = v
	}
	return parts[0], n[0], n[1], n[2], true
}

func name(job string, k, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, k, step, index)
}
