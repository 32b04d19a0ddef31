package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the minions, from the sheet of the site.
const (
	holdMax     = 6000 // ms
	gangMs      = 3000
	saveMs      = 500
	heartbeat   = 1100 * time.Millisecond
	endsPerList = 500
	maxWaitMs   = 2000
	minionCPU   = 64000
	// orderLatency is the time from an order until it is carried out.
	orderLatency = 2 * time.Millisecond
)

// run is one run of a task on a minion.
type run struct {
	minion  *minion
	task    string
	number  int
	spec    step
	job     string
	fence   int64
	resume  int64 // milliseconds of work done before
	began   int64 // on the record's clock
	worksAt int64 // since when it works; 0: its gang is not complete
	stops   bool
	over    bool
}

// end is a row of a minion's list of ends.
type end struct {
	number   int64
	task     string
	run      int
	how      string
	saved    string
	at       int64 // on the record's clock
	listedAt int64 // first time that it was listed
	lastList int64 // last time that it was listed
	ackedAt  int64 // 0: AckedThrough has not reached it
	lapsed   bool  // whether the lease lapsed before it was acknowledged
}

// start is an order that began a run.
type start struct {
	task   string
	run    int
	at     int64
	saved  string
	minion string
	fence  int64
}

// fleet is all minions and what they have seen.
type fleet struct {
	rec    *record
	store  *store
	tick   time.Duration // how often a minion looks for runs that are done
	mu     sync.Mutex
	jobs   map[string]*job // by ID, as the clients sent them
	starts []start
	ends   []*end
	gangs  map[string][]*run // by job, occurrence, step and run
	active map[*run]bool
	wrong  []string // starts that nobody sent
}

// minion is one minion; its state is guarded by the fleet's mutex.
type minion struct {
	fleet   *fleet
	id      string
	addr    string
	zone    string
	rack    string
	kind    string
	cpu     int64
	mem     int64
	born    time.Time
	fence   int64
	until   int64 // end of the lease on the minion's clock
	runs    map[string]*run
	highest map[string]int // highest run stopped or ended, by task
	ends    []*end
	next    int64
	changed chan struct{}

	gate   sync.Mutex
	isCut  bool
	healed chan struct{}
	conns  map[net.Conn]bool
}

func newFleet(rec *record, s *store, minions int) *fleet {
	return &fleet{rec: rec, store: s, tick: max(2*time.Millisecond, time.Duration(minions)*50*time.Microsecond), jobs: map[string]*job{}, gangs: map[string][]*run{}, active: map[*run]bool{}}
}

// add starts a minion at the address.
func (f *fleet) add(id, addr, zone, rack string) (*minion, error) {
	m := &minion{
		fleet: f, id: id, addr: addr, zone: zone, rack: rack, kind: "a", cpu: minionCPU, mem: 250000, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, next: 1, changed: make(chan struct{}),
		healed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	m.addr = l.Addr().String()
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(cutListener{l, m}) }()
	go m.beat()
	go m.tick()
	return m, nil
}

// beat registers the minion, and again when its entry is gone. The entry changes only when more than
// Seq changes, so it stays as it is.
func (m *minion) beat() {
	for {
		if key := "servers/" + m.id; m.fleet.store.get(key) == nil {
			m.fleet.store.put(key, map[string]any{
				"Service": serviceName, "Address": m.addr, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "WarmupLeftMs": 0,
				"Capacity": map[string]any{"Cpu": m.cpu, "MemMb": m.mem, "Gpu": 0}, "Labels": []string{m.kind, m.rack}, "born": m.born.UnixMilli(), "Seq": 1,
			})
		}
		time.Sleep(heartbeat)
	}
}

// clock returns the minion's own clock.
func (m *minion) clock() int64 {
	return 1000 + time.Since(m.born).Milliseconds()
}

// tick ends runs that are done and kills all when the lease is over.
func (m *minion) tick() {
	for {
		time.Sleep(m.fleet.tick)
		m.fleet.mu.Lock()
		if len(m.runs) > 0 && m.clock() > m.until {
			m.fleet.rec.note(m.id, "the lease ends with %d runs", len(m.runs))
			for _, r := range m.sorted() {
				m.fleet.finish(r, "lapsed")
			}
		}
		if m.clock() > m.until {
			for _, e := range m.ends {
				e.lapsed = true
			}
		}
		now := m.fleet.rec.now()
		for _, r := range m.sorted() {
			if r.over || r.spec.lasts {
				continue
			}
			if r.worksAt != 0 && r.resume+now-r.worksAt >= r.spec.workMs {
				m.fleet.finish(r, "done")
			} else if r.worksAt == 0 && now-r.began > gangMs {
				m.fleet.finish(r, "alone")
			}
		}
		m.fleet.mu.Unlock()
	}
}

func (m *minion) sorted() []*run {
	var runs []*run
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(a, b int) bool { return runs[a].task < runs[b].task })
	return runs
}

// saved returns the value of what the run has saved.
func (r *run) saved(now int64, exact bool) string {
	if !r.spec.Checkpointing || r.worksAt == 0 {
		if r.resume > 0 {
			return savedValue(r.resume, r.job)
		}
		return ""
	}
	work := r.resume + now - r.worksAt
	if !exact {
		work -= work % saveMs
	}
	if work == 0 {
		return ""
	}
	return savedValue(work, r.job)
}

func savedValue(work int64, job string) string {
	return fmt.Sprintf("%08x%s", work, job[:8])
}

// gangKey identifies the gang of the run.
func (r *run) gangKey() string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "#" + strconv.Itoa(r.number)
}

// finish ends a run, and the others of its gang.
func (f *fleet) finish(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	now := f.rec.now()
	m := r.minion
	saved := ""
	if how != "done" && how != "lapsed" && how != "failed" {
		saved = r.saved(now, how == "stopped" || how == "broken")
	}
	e := &end{number: m.next, task: r.task, run: r.number, how: how, saved: saved, at: now}
	m.next++
	m.ends = append(m.ends, e)
	f.ends = append(f.ends, e)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	delete(m.runs, r.task)
	delete(f.active, r)
	close(m.changed)
	m.changed = make(chan struct{})
	if r.spec.Gang {
		others := f.gangs[r.gangKey()]
		delete(f.gangs, r.gangKey())
		for _, other := range others {
			switch {
			case other == r || other.over:
			case how == "done":
				f.finish(other, "done")
			case how == "alone":
				f.gangs[r.gangKey()] = append(f.gangs[r.gangKey()], other)
			default:
				f.finish(other, "broken")
			}
		}
	}
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Task, Spec, Saved      string
		Run, Percent           int
		UntilMs, Fence, WaitMs int64
		AckedThrough           int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.URL.Path != "/api/hold" {
		time.Sleep(orderLatency)
	}
	f := m.fleet
	f.mu.Lock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		f.mu.Unlock()
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if o.Fence < m.fence {
		f.mu.Unlock()
		m.refuse(w, "fence")
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		status, reason := m.start(o.Task, o.Run, o.Spec, o.Saved, o.UntilMs, o.Fence)
		f.mu.Unlock()
		if status != http.StatusOK {
			m.refuse(w, reason)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock()})
	case "/api/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if run := m.runs[o.Task]; run != nil && run.number <= o.Run && !run.stops {
			run.stops = true
			time.AfterFunc(50*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.finish(run, "stopped")
			})
		}
		f.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock()})
	case "/api/pace":
		f.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"ClockMs": m.clock()})
	case "/api/hold":
		m.hold(w, r, o.UntilMs, o.AckedThrough, o.WaitMs)
	default:
		f.mu.Unlock()
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"ClockMs": m.clock(), "Reason": reason})
}

// extend takes a lease, which never shortens and lasts for holdMax at most.
func (m *minion) extend(until int64) {
	m.until = max(m.until, min(until, m.clock()+holdMax))
}

// start carries out a start. The fleet's mutex is held.
func (m *minion) start(task string, number int, spec, saved string, until, fence int64) (int, string) {
	f := m.fleet
	j, st := f.find(task)
	if j == nil || spec != j.Spec {
		f.wrong = append(f.wrong, task)
		f.rec.say(m.id, "a start of %s that no client sent", task)
		return http.StatusBadRequest, ""
	}
	if until < m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(until)
	if there := m.runs[task]; there != nil && there.number == number {
		return http.StatusOK, ""
	}
	if number <= m.highest[task] || m.runs[task] != nil {
		return http.StatusConflict, "old"
	}
	cpu, mem := st.reserved(), st.MemMb
	for _, r := range m.runs {
		cpu, mem = cpu+r.spec.reserved(), mem+r.spec.MemMb
	}
	if cpu > m.cpu || mem > m.mem {
		return http.StatusConflict, "room"
	}
	r := &run{minion: m, task: task, number: number, spec: *st, job: j.ID, fence: fence, began: f.rec.now()}
	if len(saved) >= 8 {
		r.resume, _ = strconv.ParseInt(saved[:8], 16, 64)
	}
	m.runs[task] = r
	f.active[r] = true
	f.starts = append(f.starts, start{task: task, run: number, at: r.began, saved: saved, minion: m.id, fence: fence})
	if !st.Gang {
		r.worksAt = r.began
	} else {
		key := r.gangKey()
		f.gangs[key] = append(f.gangs[key], r)
		if len(f.gangs[key]) == st.Count {
			for _, member := range f.gangs[key] {
				member.worksAt = f.rec.now()
			}
		}
	}
	return http.StatusOK, ""
}

// hold renews the lease and lists. The fleet's mutex is held when it is called.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, until, acked, waitMs int64) {
	f := m.fleet
	if until != 0 {
		m.extend(until)
	}
	for len(m.ends) > 0 && m.ends[0].number <= acked {
		m.ends[0].ackedAt = f.rec.now()
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && waitMs > 0 {
		changed := m.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(waitMs, maxWaitMs)) * time.Millisecond):
		}
		f.mu.Lock()
	}
	now := f.rec.now()
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.sorted() {
		percent := int64(0)
		if r.worksAt != 0 && r.spec.workMs > 0 {
			percent = min(99, (r.resume+now-r.worksAt)*100/r.spec.workMs)
		}
		if r.worksAt != 0 && r.spec.lasts {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, r.saved(now, false), percent, r.spec.Cpu})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPerList)] {
		if e.listedAt == 0 {
			e.listedAt = now
		}
		e.lastList = now
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"ClockMs": m.clock(), "born": m.born.UnixMilli(), "Running": running, "Ended": ended}
	f.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// find returns the job and the step of a task that a client has sent.
func (f *fleet) find(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	j := f.jobs[parts[0]]
	if j == nil {
		return nil, nil
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.Steps) {
		return nil, nil
	}
	return j, &j.Steps[n]
}

// cut partitions the minion from all machines of the system. What is on its connections then is lost.
func (m *minion) cut() {
	m.gate.Lock()
	defer m.gate.Unlock()
	m.isCut, m.healed = true, make(chan struct{})
}

// heal ends the partition; the connections of before and of meanwhile are reset.
func (m *minion) heal() {
	m.gate.Lock()
	defer m.gate.Unlock()
	m.isCut = false
	for c := range m.conns {
		_ = c.Close()
	}
	m.conns = map[net.Conn]bool{}
	close(m.healed)
}

// cutListener and cutConn let nothing through while their minion is cut off.
type cutListener struct {
	net.Listener
	m *minion
}

// Accept implements net.Listener.
func (l cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.m.gate.Lock()
	l.m.conns[c] = true
	l.m.gate.Unlock()
	return cutConn{c, l.m}, nil
}

type cutConn struct {
	net.Conn
	m *minion
}

func (c cutConn) wait() error {
	c.m.gate.Lock()
	isCut, healed := c.m.isCut, c.m.healed
	c.m.gate.Unlock()
	if isCut {
		<-healed
		return net.ErrClosed
	}
	return nil
}

// Read implements net.Conn.
func (c cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gone := c.wait(); gone != nil {
		return 0, gone
	}
	return n, err
}

// Write implements net.Conn.
func (c cutConn) Write(b []byte) (int, error) {
	if gone := c.wait(); gone != nil {
		return 0, gone
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c cutConn) Close() error {
	c.m.gate.Lock()
	delete(c.m.conns, c.Conn)
	c.m.gate.Unlock()
	return c.Conn.Close()
}
