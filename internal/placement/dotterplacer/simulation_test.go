package dotterplacer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

const (
	tick         = 500 * dotterclock.Millisecond
	reportLag    = 4 // ticks
	reportEvery  = 2 // ticks
	criticals    = 10
	evictionCost = 2000 // milliseconds of work done again
	batches      = 16
	hostCores    = 64_000
	hostMemory   = 250_000
)

// usualLoad is the factor on effects on a worker whose cores are about 80% used.
const usualLoad = 1.3

// scenario is the load and faults of one evaluation.
type scenario struct {
	workers      int
	criticalLoad float64 // part of all cores
	batchLoad    float64 // part of all cores, undisturbed
	shift        float64 // amplitude of the change of interference and load, 0 to 1
	waves        bool    // bursts of the two noisiest templates every two minutes
	wrong        float64 // largest factor by which declared sizes are off; 1 is exact
	blackHoles   int     // workers that fail everything from the second minute on
	ticks        int
}

// work is a task with what the policy doesn't see.
type work struct {
	task      dottertask.Task
	kind      int // index of its template
	size      dotterroom.Room
	alone     float64 // run time when alone, milliseconds
	done      float64
	worker    int
	held      dotterroom.Room
	started   dotterclock.Millis
	evictAt   int
	throttled int
	slowdown  float64
}

// weight returns the processor share that w is left.
func (w *work) weight() float64 {
	if w.throttled == 0 {
		return 1
	}
	return float64(w.throttled) / 100
}

// simulation is workers' progress under hidden interference, with late reports.
type simulation struct {
	scenario
	random    *rand.Rand // set-up and reports
	arrivals  *rand.Rand // the same for every policy
	renewals  *rand.Rand // of latency-critical tasks that ended
	placer    dotterelusher.Placer
	document  dotterconfig.Document
	hosts     []dotterhost.Host
	effect    [criticals + batches][criticals + batches]float64
	sizes     [criticals + batches]dotterroom.Room
	declared  [criticals + batches]dotterroom.Room
	runs      [criticals + batches]float64
	phase     [criticals + batches]float64
	queue     []*work
	running   [][]*work
	late      map[int][]delivery
	now       dotterclock.Millis
	step      int
	next      int
	slowdowns []float64
	batchWork float64 // core-seconds of batch done
	evictions int
	failures  int                // attempts failed
	turned    dotterclock.Millis // when the black holes turn bad
	lost      []int              // tasks started on and failed by each of them since
	overused  int                // worker ticks with more processor use than there is
	overfull  int                // assignments that didn't fit
	plannedBy dotterplan.Plan
}

type delivery struct {
	worker string
	usage  []dotterattempt.Usage
}

func newSimulation(s scenario, seed uint64, placer dotterelusher.Placer) *simulation {
	m := &simulation{scenario: s, placer: placer, late: map[int][]delivery{}}
	m.random, m.arrivals, m.renewals = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	m.now = 1_000_000
	m.turned = m.now + 120*dotterclock.Second
	m.lost = make([]int, s.workers)
	m.running = make([][]*work, s.workers)
	for i := range s.workers {
		m.hosts = append(m.hosts, dotterhost.Host{
			Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/8), State: dotterhost.StateLive,
			Capacity: dotterroom.Room{MilliCores: hostCores, MemoryMB: hostMemory},
		})
	}
	m.document.Partners = []dotterconfig.Partner{{Name: "A", SharePercent: 60}, {Name: "B", SharePercent: 40}}
	for i := range criticals + batches {
		m.addTemplate(i)
	}
	for v := range m.effect {
		for a := range m.effect[v] {
			m.effect[v][a] = 0.01 * math.Exp(0.8*m.random.NormFloat64())
			if m.random.Float64() < 0.05 {
				m.effect[v][a] = 0.1 + 0.4*m.random.Float64()
			}
			if a >= criticals+batches-2 {
				m.effect[v][a] = 0.05 + 0.15*m.random.Float64()
			}
		}
	}
	total := m.criticalLoad * float64(s.workers*hostCores)
	for used := 0.0; used < total; {
		kind := m.random.IntN(criticals)
		m.submit(m.renewals, kind)
		used += float64(m.sizes[kind].MilliCores)
	}
	return m
}

func (m *simulation) addTemplate(i int) {
	team := fmt.Sprintf("team%d", i%4)
	if i < 4 {
		m.document.Teams = append(m.document.Teams, dotterconfig.Team{Name: team, Partner: []string{"A", "B"}[i%2], Weight: 1})
	}
	size := dotterroom.Room{MilliCores: 1000 + m.random.Int64N(4000), MemoryMB: 2000 + m.random.Int64N(14_000)}
	rank, run := 50, 10_000+80_000*m.random.Float64()
	if i < criticals {
		size = dotterroom.Room{MilliCores: 2000 + m.random.Int64N(2000), MemoryMB: 4000 + m.random.Int64N(4000)}
		rank, run = 10, 120_000+280_000*m.random.Float64()
	}
	off := 1.0
	if m.wrong > 1 {
		off = math.Pow(m.wrong, 2*m.random.Float64()-1)
	}
	m.sizes[i], m.runs[i], m.phase[i] = size, run, 2*math.Pi*m.random.Float64()
	m.declared[i] = dotterroom.Room{MilliCores: int64(float64(size.MilliCores) * off), MemoryMB: int64(float64(size.MemoryMB) * off)}
	m.document.Templates = append(m.document.Templates, dotterconfig.Template{
		Name: fmt.Sprintf("t%02d", i), Team: team, Rank: rank, Critical: i < criticals, Repeatable: true,
		Size: m.declared[i], RunMillis: dotterclock.Millis(run),
	})
}

func (m *simulation) submit(random *rand.Rand, kind int) {
	t := m.document.Templates[kind]
	m.next++
	m.queue = append(m.queue, &work{
		kind: kind, size: m.sizes[kind], alone: m.runs[kind] * (0.7 + 0.6*random.Float64()), worker: -1,
		task: dottertask.Task{
			ID: dottertask.ID(fmt.Sprintf("s-%d", m.next)), Team: t.Team, Template: t.Name, Size: t.Size, RunMillis: t.RunMillis,
			Repeatable: true, Critical: t.Critical, Rank: t.Rank, SubmittedAt: m.now, State: dottertask.StateQueued,
		},
	})
}

// run plays the scenario to its end.
func (m *simulation) run() {
	m.runUntil(m.ticks)
}

// runUntil plays the scenario on to step end.
func (m *simulation) runUntil(end int) {
	for ; m.step < end; m.step++ {
		m.now += tick
		m.arrive()
		for i := range m.running {
			m.advance(i)
		}
		for _, d := range m.late[m.step] {
			m.placer.Observe(m.now, d.worker, d.usage)
		}
		delete(m.late, m.step)
		m.plan()
	}
}

// swing returns the factor of a template's activity at this step.
func (m *simulation) swing(kind int) float64 {
	return 1 + m.shift*math.Sin(m.phase[kind]+2*math.Pi*float64(m.step)/600)
}

func (m *simulation) arrive() {
	mean := 0.0
	for k := criticals; k < criticals+batches; k++ {
		mean += float64(m.sizes[k].MilliCores) * m.runs[k] / batches
	}
	perTick := m.batchLoad * float64(m.workers*hostCores) / mean * float64(tick)
	perTick *= 1 + m.shift*math.Sin(2*math.Pi*float64(m.step)/400)
	for range int(perTick) {
		m.submit(m.arrivals, criticals+m.arrivals.IntN(batches))
	}
	if m.arrivals.Float64() < perTick-math.Floor(perTick) {
		m.submit(m.arrivals, criticals+m.arrivals.IntN(batches))
	}
	if m.waves && m.step%240 == 120 {
		for range 6 * m.workers {
			m.submit(m.arrivals, criticals+batches-1-m.arrivals.IntN(2))
		}
	}
}

// advance moves the tasks of one worker on by a tick and delivers ends.
func (m *simulation) advance(at int) {
	var cores, memory int64
	for _, w := range m.running[at] {
		cores += w.size.MilliCores
		memory += w.size.MemoryMB
	}
	load := float64(cores) / hostCores
	if load > 1 {
		m.overused++
	}
	var usage []dotterattempt.Usage
	active := m.activity(at)
	for _, w := range slices.Clone(m.running[at]) {
		if w.started > m.now {
			continue
		}
		if m.blackHoles > at && m.now >= m.turned {
			if w.started > m.turned {
				m.lost[at]++
			}
			m.fail(w)
			continue
		}
		if memory > hostMemory && w == m.running[at][len(m.running[at])-1] {
			m.fail(w)
			continue
		}
		w.slowdown = m.disturbance(w, &active, load)
		m.progress(w)
		u := dotterattempt.Usage{At: m.now, Used: w.size, Progress: min(1, w.done/w.alone), Slowdown: w.slowdown * (0.95 + 0.1*m.arrivals.Float64())}
		u.Task, u.Attempt = w.task.ID, w.task.Attempt
		u.Slowdown /= w.weight()
		usage = append(usage, u)
	}
	if m.step%reportEvery == at%reportEvery {
		m.late[m.step+reportLag] = append(m.late[m.step+reportLag], delivery{m.hosts[at].Name, usage})
	}
}

// activity returns, by template, how busy the tasks of one worker are.
func (m *simulation) activity(at int) (active [criticals + batches]float64) {
	for _, w := range m.running[at] {
		if w.started <= m.now {
			active[w.kind] += m.swing(w.kind) * w.weight()
		}
	}
	return active
}

// disturbance returns the slowdown of v beside active, of which v is a part.
func (m *simulation) disturbance(v *work, active *[criticals + batches]float64, load float64) float64 {
	sum := -m.effect[v.kind][v.kind] * m.swing(v.kind) * v.weight()
	for kind, part := range active {
		sum += m.effect[v.kind][kind] * part
	}
	return (1 + sum*(0.5+load)) * max(1, load)
}

func (m *simulation) progress(w *work) {
	gain := float64(tick) / w.slowdown * w.weight()
	gain = min(gain, w.alone-w.done)
	w.done += gain
	if w.task.Critical {
		m.slowdowns = append(m.slowdowns, w.slowdown)
	} else {
		m.batchWork += gain / 1000 * float64(w.size.MilliCores) / 1000
	}
	switch {
	case w.done >= w.alone:
		m.end(w, dotterattempt.PhaseDone)
		if w.task.Critical {
			m.submit(m.renewals, w.kind)
		}
	case w.evictAt > 0 && m.step >= w.evictAt:
		m.end(w, dotterattempt.PhaseCheckpointed)
		w.task.Checkpoint = "c"
		m.lose(w, evictionCost)
		m.requeue(w)
	}
}

func (m *simulation) fail(w *work) {
	m.failures++
	m.lose(w, w.done)
	m.end(w, dotterattempt.PhaseFailed)
	m.requeue(w)
}

// lose takes back progress that has to be made again.
func (m *simulation) lose(w *work, span float64) {
	span = min(span, w.done)
	w.done -= span
	if !w.task.Critical {
		m.batchWork -= span / 1000 * float64(w.size.MilliCores) / 1000
	}
}

func (m *simulation) end(w *work, phase dotterattempt.Phase) {
	status := dotterattempt.Status{Phase: phase, RanMillis: m.now - w.started}
	status.Task, status.Attempt = w.task.ID, w.task.Attempt
	at := w.worker
	m.running[at] = slices.DeleteFunc(m.running[at], func(o *work) bool { return o == w })
	m.placer.Ended(m.now, m.hosts[at].Name, w.task, status)
}

func (m *simulation) requeue(w *work) {
	w.task.State, w.worker, w.evictAt, w.throttled = dottertask.StateQueued, -1, 0, 0
	at, _ := slices.BinarySearchFunc(m.queue, w, func(a, b *work) int { return int(a.task.SubmittedAt - b.task.SubmittedAt) })
	m.queue = slices.Insert(m.queue, at, w)
}

func (m *simulation) state() dotterplan.State {
	s := dotterplan.State{Now: m.now, Configuration: m.document}
	for _, w := range m.queue {
		s.Queue = append(s.Queue, w.task)
	}
	for i, h := range m.hosts {
		worker := dotterplan.Worker{Host: h, Usable: true}
		s.Pool = s.Pool.Add(h.Capacity)
		for _, w := range m.running[i] {
			holder := dotterplan.Holder{Task: w.task, Size: w.held, Throttled: w.throttled}
			if w.started <= m.now {
				holder.StartedAt = w.started
			}
			worker.Holders = append(worker.Holders, holder)
		}
		s.Workers = append(s.Workers, worker)
	}
	return s
}

// plan asks the policy and carries out what it decides.
func (m *simulation) plan() {
	s := m.state()
	free := map[string]dotterroom.Room{}
	at := map[string]int{}
	byID := map[dottertask.ID]*work{}
	for i, w := range s.Workers {
		free[w.Host.Name], at[w.Host.Name] = w.Free(), i
		for _, r := range m.running[i] {
			byID[r.task.ID] = r
		}
	}
	queued := map[dottertask.ID]*work{}
	for _, w := range m.queue {
		queued[w.task.ID] = w
	}
	m.plannedBy = m.placer.Plan(s)
	for _, e := range m.plannedBy.Evictions {
		w := byID[e.Task]
		if w.evictAt == 0 {
			w.evictAt, w.task.State = m.step+2, dottertask.StateEvicting
			m.evictions++
		}
	}
	for _, t := range m.plannedBy.Throttles {
		byID[t.Task].throttled = t.Percent % 100
	}
	for _, a := range m.plannedBy.Assignments {
		w := queued[a.Task]
		if !a.Size.Fits(free[a.Worker]) || !w.task.Size.Fits(a.Size) {
			m.overfull++
			continue
		}
		free[a.Worker] = free[a.Worker].Sub(a.Size)
		delete(queued, a.Task)
		w.task = w.task.WithAttempt(w.task.Attempt+1, a.Worker)
		w.task.State = dottertask.StateRunning
		w.worker, w.held, w.started = at[a.Worker], a.Size, m.now+tick
		m.running[w.worker] = append(m.running[w.worker], w)
	}
	for _, e := range m.plannedBy.Endings {
		delete(queued, e.Task)
	}
	m.queue = slices.DeleteFunc(m.queue, func(w *work) bool { return queued[w.task.ID] == nil })
}

// longestWait returns how long the oldest queued task has waited.
func (m *simulation) longestWait() (longest dotterclock.Millis) {
	for _, w := range m.queue {
		longest = max(longest, m.now-w.task.SubmittedAt)
	}
	return longest
}

// quantile returns the value at q, 0 to 1, of values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
