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
	tick               = 500 * dotterclock.Millisecond
	reportLag          = 4 // ticks
	reportEvery        = 2 // ticks
	criticalTemplates  = 10
	evictionCostMillis = 2000 // milliseconds of work repeated after an eviction
	batchTemplates     = 16
	hostCores          = 64_000
	hostMemory         = 250_000
)

// usualLoadFactor is the factor on effects on a worker with about 80% of its
// cores in use.
const usualLoadFactor = 1.3

// scenario configures the load and the faults of one simulation.
type scenario struct {
	workers       int
	criticalLoad  float64 // fraction of all cores
	batchLoad     float64 // fraction of all cores, without slowdown
	variation     float64 // relative amplitude of the periodic change of interference and load, 0 to 1
	bursts        bool    // bursts of the last two templates, which disturb all others, every two minutes
	sizeError     float64 // largest factor between true and declared sizes; 1 is exact
	faultyWorkers int     // number of workers that fail every task after two minutes
	ticks         int
}

// simulatedTask is a task with its true state, which the policy doesn't see.
type simulatedTask struct {
	task        dottertask.Task
	kind        int // index of its template
	size        dotterroom.Room
	soloMillis  float64 // run time without interference, in milliseconds
	doneMillis  float64
	worker      int
	heldRoom    dotterroom.Room
	startedAt   dotterclock.Millis
	evictAtStep int
	throttled   int
	slowdown    float64
}

// weight returns the processor share that the throttle leaves to w.
func (w *simulatedTask) weight() float64 {
	if w.throttled == 0 {
		return 1
	}
	return float64(w.throttled) / 100
}

// simulation simulates the progress of tasks under interference that the policy
// sees only through late reports.
type simulation struct {
	scenario
	random         *rand.Rand // set-up
	arrivals       *rand.Rand // batch arrivals
	noise          *rand.Rand // of reports; their number depends on the policy
	renewals       *rand.Rand // latency-critical tasks
	placer         dotterelusher.Placer
	document       dotterconfig.Document
	hosts          []dotterhost.Host
	effect         [criticalTemplates + batchTemplates][criticalTemplates + batchTemplates]float64
	sizes          [criticalTemplates + batchTemplates]dotterroom.Room
	declared       [criticalTemplates + batchTemplates]dotterroom.Room
	runs           [criticalTemplates + batchTemplates]float64
	phase          [criticalTemplates + batchTemplates]float64
	queue          []*simulatedTask
	running        [][]*simulatedTask
	pendingReports map[int][]workerReport
	now            dotterclock.Millis
	step           int
	nextID         int
	slowdowns      []float64
	batchWork      float64 // core-seconds of batch work done
	evictions      int
	failures       int                // failed attempts
	faultyFrom     dotterclock.Millis // time from which the faulty workers fail
	lostTasks      []int              // by faulty worker: tasks started after faultyFrom that it failed
	overloaded     int                // number of ticks of a worker with more processor use than capacity
	rejected       int                // assignments that didn't fit
	lastPlan       dotterplan.Plan
}

type workerReport struct {
	worker string
	usage  []dotterattempt.Usage
}

func newSimulation(s scenario, seed uint64, placer dotterelusher.Placer) *simulation {
	m := &simulation{scenario: s, placer: placer, pendingReports: map[int][]workerReport{}}
	m.random, m.arrivals = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	m.renewals, m.noise = rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
	m.now = 1_000_000
	m.faultyFrom = m.now + 120*dotterclock.Second
	m.lostTasks = make([]int, s.workers)
	m.running = make([][]*simulatedTask, s.workers)
	for i := range s.workers {
		m.hosts = append(m.hosts, dotterhost.Host{
			Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/8), State: dotterhost.StateLive,
			Capacity: dotterroom.Room{MilliCores: hostCores, MemoryMB: hostMemory},
		})
	}
	m.document.Partners = []dotterconfig.Partner{{Name: "A", SharePercent: 60}, {Name: "B", SharePercent: 40}}
	for i := range criticalTemplates + batchTemplates {
		m.addTemplate(i)
	}
	for v := range m.effect {
		for a := range m.effect[v] {
			m.effect[v][a] = 0.01 * math.Exp(0.8*m.random.NormFloat64())
			if m.random.Float64() < 0.05 {
				m.effect[v][a] = 0.1 + 0.4*m.random.Float64()
			}
			if a >= criticalTemplates+batchTemplates-2 {
				m.effect[v][a] = 0.05 + 0.15*m.random.Float64()
			}
		}
	}
	total := m.criticalLoad * float64(s.workers*hostCores)
	for used := 0.0; used < total; {
		kind := m.random.IntN(criticalTemplates)
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
	if i < criticalTemplates {
		size = dotterroom.Room{MilliCores: 2000 + m.random.Int64N(2000), MemoryMB: 4000 + m.random.Int64N(4000)}
		rank, run = 10, 120_000+280_000*m.random.Float64()
	}
	sizeFactor := 1.0
	if m.sizeError > 1 {
		sizeFactor = math.Pow(m.sizeError, 2*m.random.Float64()-1)
	}
	m.sizes[i], m.runs[i], m.phase[i] = size, run, 2*math.Pi*m.random.Float64()
	m.declared[i] = dotterroom.Room{MilliCores: int64(float64(size.MilliCores) * sizeFactor), MemoryMB: int64(float64(size.MemoryMB) * sizeFactor)}
	m.document.Templates = append(m.document.Templates, dotterconfig.Template{
		Name: fmt.Sprintf("t%02d", i), Team: team, Rank: rank, Critical: i < criticalTemplates, Repeatable: true,
		Size: m.declared[i], RunMillis: dotterclock.Millis(run),
	})
}

func (m *simulation) submit(random *rand.Rand, kind int) {
	t := m.document.Templates[kind]
	m.nextID++
	m.queue = append(m.queue, &simulatedTask{
		kind: kind, size: m.sizes[kind], soloMillis: m.runs[kind] * (0.7 + 0.6*random.Float64()), worker: -1,
		task: dottertask.Task{
			ID: dottertask.ID(fmt.Sprintf("s-%d", m.nextID)), Team: t.Team, Template: t.Name, Size: t.Size, RunMillis: t.RunMillis,
			Repeatable: true, Critical: t.Critical, Rank: t.Rank, SubmittedAt: m.now, State: dottertask.StateQueued,
		},
	})
}

// run runs the scenario to its end.
func (m *simulation) run() {
	m.runUntil(m.ticks)
}

// runUntil runs the scenario up to step end.
func (m *simulation) runUntil(end int) {
	for ; m.step < end; m.step++ {
		m.now += tick
		m.submitArrivals()
		for i := range m.running {
			m.advanceWorker(i)
		}
		for _, d := range m.pendingReports[m.step] {
			m.placer.RecordUsage(m.now, d.worker, d.usage)
		}
		delete(m.pendingReports, m.step)
		m.plan()
	}
}

// activityFactor returns the activity of a template's tasks in this step,
// relative to their average.
func (m *simulation) activityFactor(kind int) float64 {
	return 1 + m.variation*math.Sin(m.phase[kind]+2*math.Pi*float64(m.step)/600)
}

func (m *simulation) submitArrivals() {
	mean := 0.0
	for k := criticalTemplates; k < criticalTemplates+batchTemplates; k++ {
		mean += float64(m.sizes[k].MilliCores) * m.runs[k] / batchTemplates
	}
	perTick := m.batchLoad * float64(m.workers*hostCores) / mean * float64(tick)
	perTick *= 1 + m.variation*math.Sin(2*math.Pi*float64(m.step)/400)
	for range int(perTick) {
		m.submit(m.arrivals, criticalTemplates+m.arrivals.IntN(batchTemplates))
	}
	if m.arrivals.Float64() < perTick-math.Floor(perTick) {
		m.submit(m.arrivals, criticalTemplates+m.arrivals.IntN(batchTemplates))
	}
	if m.bursts && m.step%240 == 120 {
		for range 6 * m.workers {
			m.submit(m.arrivals, criticalTemplates+batchTemplates-1-m.arrivals.IntN(2))
		}
	}
}

// advanceWorker advances the tasks of one worker by a tick, and queues its
// usage reports for later delivery.
func (m *simulation) advanceWorker(at int) {
	var cores, memory int64
	for _, w := range m.running[at] {
		cores += w.size.MilliCores
		memory += w.size.MemoryMB
	}
	load := float64(cores) / hostCores
	if load > 1 {
		m.overloaded++
	}
	var usage []dotterattempt.Usage
	active := m.activity(at)
	for _, w := range slices.Clone(m.running[at]) {
		if w.startedAt > m.now {
			continue
		}
		if m.faultyWorkers > at && m.now >= m.faultyFrom {
			if w.startedAt > m.faultyFrom {
				m.lostTasks[at]++
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
		u := dotterattempt.Usage{At: m.now, Used: w.size, Progress: min(1, w.doneMillis/w.soloMillis), Slowdown: w.slowdown * (0.95 + 0.1*m.noise.Float64())}
		u.Task, u.Attempt = w.task.ID, w.task.Attempt
		u.Slowdown /= w.weight()
		usage = append(usage, u)
	}
	if m.step%reportEvery == at%reportEvery {
		m.pendingReports[m.step+reportLag] = append(m.pendingReports[m.step+reportLag], workerReport{m.hosts[at].Name, usage})
	}
}

// activity returns the total activity of the tasks of each template on one
// worker.
func (m *simulation) activity(at int) (active [criticalTemplates + batchTemplates]float64) {
	for _, w := range m.running[at] {
		if w.startedAt <= m.now {
			active[w.kind] += m.activityFactor(w.kind) * w.weight()
		}
	}
	return active
}

// disturbance returns the slowdown of v. The activities in active include that
// of v.
func (m *simulation) disturbance(v *simulatedTask, active *[criticalTemplates + batchTemplates]float64, load float64) float64 {
	sum := -m.effect[v.kind][v.kind] * m.activityFactor(v.kind) * v.weight()
	for kind, part := range active {
		sum += m.effect[v.kind][kind] * part
	}
	return (1 + sum*(0.5+load)) * max(1, load)
}

func (m *simulation) progress(w *simulatedTask) {
	gain := float64(tick) / w.slowdown * w.weight()
	gain = min(gain, w.soloMillis-w.doneMillis)
	w.doneMillis += gain
	if w.task.Critical {
		m.slowdowns = append(m.slowdowns, w.slowdown)
	} else {
		m.batchWork += gain / 1000 * float64(w.size.MilliCores) / 1000
	}
	switch {
	case w.doneMillis >= w.soloMillis:
		m.end(w, dotterattempt.PhaseDone)
		if w.task.Critical {
			m.submit(m.renewals, w.kind)
		}
	case w.evictAtStep > 0 && m.step >= w.evictAtStep:
		m.end(w, dotterattempt.PhaseCheckpointed)
		w.task.Checkpoint = "c"
		m.discardProgress(w, evictionCostMillis)
		m.requeue(w)
	}
}

func (m *simulation) fail(w *simulatedTask) {
	m.failures++
	m.discardProgress(w, w.doneMillis)
	m.end(w, dotterattempt.PhaseFailed)
	m.requeue(w)
}

// discardProgress takes back progress that has to be repeated.
func (m *simulation) discardProgress(w *simulatedTask, duration float64) {
	duration = min(duration, w.doneMillis)
	w.doneMillis -= duration
	if !w.task.Critical {
		m.batchWork -= duration / 1000 * float64(w.size.MilliCores) / 1000
	}
}

func (m *simulation) end(w *simulatedTask, phase dotterattempt.Phase) {
	status := dotterattempt.Status{Phase: phase, RanMillis: m.now - w.startedAt}
	status.Task, status.Attempt = w.task.ID, w.task.Attempt
	at := w.worker
	m.running[at] = slices.DeleteFunc(m.running[at], func(o *simulatedTask) bool { return o == w })
	m.placer.RecordEnd(m.now, m.hosts[at].Name, w.task, status)
}

func (m *simulation) requeue(w *simulatedTask) {
	w.task.State, w.worker, w.evictAtStep, w.throttled = dottertask.StateQueued, -1, 0, 0
	at, _ := slices.BinarySearchFunc(m.queue, w, func(a, b *simulatedTask) int { return int(a.task.SubmittedAt - b.task.SubmittedAt) })
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
			holder := dotterplan.Holder{Task: w.task, Size: w.heldRoom, ThrottlePercent: w.throttled}
			if w.startedAt <= m.now {
				holder.StartedAt = w.startedAt
			}
			worker.Holders = append(worker.Holders, holder)
		}
		s.Workers = append(s.Workers, worker)
	}
	return s
}

// plan asks the policy for a plan and carries it out.
func (m *simulation) plan() {
	s := m.state()
	free := map[string]dotterroom.Room{}
	at := map[string]int{}
	byID := map[dottertask.ID]*simulatedTask{}
	for i, w := range s.Workers {
		free[w.Host.Name], at[w.Host.Name] = w.Free(), i
		for _, r := range m.running[i] {
			byID[r.task.ID] = r
		}
	}
	queued := map[dottertask.ID]*simulatedTask{}
	for _, w := range m.queue {
		queued[w.task.ID] = w
	}
	m.lastPlan = m.placer.Plan(s)
	for _, e := range m.lastPlan.Evictions {
		w := byID[e.Task]
		if w.evictAtStep == 0 {
			w.evictAtStep, w.task.State = m.step+2, dottertask.StateEvicting
			m.evictions++
		}
	}
	for _, t := range m.lastPlan.Throttles {
		byID[t.Task].throttled = t.Percent % 100
	}
	for _, a := range m.lastPlan.Assignments {
		w := queued[a.Task]
		if !a.Size.Fits(free[a.Worker]) || !w.task.Size.Fits(a.Size) {
			m.rejected++
			continue
		}
		free[a.Worker] = free[a.Worker].Sub(a.Size)
		delete(queued, a.Task)
		w.task = w.task.WithAttempt(w.task.Attempt+1, a.Worker)
		w.task.State = dottertask.StateRunning
		w.worker, w.heldRoom, w.startedAt = at[a.Worker], a.Size, m.now+tick
		m.running[w.worker] = append(m.running[w.worker], w)
	}
	for _, e := range m.lastPlan.Failures {
		delete(queued, e.Task)
	}
	m.queue = slices.DeleteFunc(m.queue, func(w *simulatedTask) bool { return queued[w.task.ID] == nil })
}

// longestWait returns the waiting time of the oldest queued task.
func (m *simulation) longestWait() (longest dotterclock.Millis) {
	for _, w := range m.queue {
		longest = max(longest, m.now-w.task.SubmittedAt)
	}
	return longest
}

// quantile returns the q-quantile of values, with q from 0 to 1.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
