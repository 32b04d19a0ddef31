package dotterstandworker

import (
	"math"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterendpoint"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// Bounds of a worker's memory.
const (
	usageLimit    = 10_000  // samples kept, the oldest are dropped
	finishedLimit = 100_000 // ended attempts remembered
)

// Worker is one stand-in worker.
type Worker struct {
	host         dotterhost.Host
	clock        dotterelusher.Clock
	offset       dotterclock.Millis // of its own clock
	options      Options
	interference *Interference
	recorder     *dottertruth.Recorder
	cuts         *dotterfault.Partitions
	endpoint     *dotterendpoint.Endpoint
	gate         dotterendpoint.Gate

	mu          sync.Mutex
	fault       dotterfault.Worker
	frozenClock dotterclock.Millis // what the clock shows while it stands still
	tickedAt    dotterclock.Millis
	incarnation int64
	epochs      map[string]int64
	attempts    map[dotterattempt.Ref]*attempt
	finished    map[dotterattempt.Ref]bool
	usage       []dotterattempt.Usage
}

// New returns a worker that listens at host.Address when it is opened and
// whose own clock is off by offset.
func New(host dotterhost.Host, clock dotterelusher.Clock, offset dotterclock.Millis, options Options,
	interference *Interference, recorder *dottertruth.Recorder, cuts *dotterfault.Partitions) *Worker {
	w := &Worker{
		host:         host,
		clock:        clock,
		offset:       offset,
		options:      options,
		interference: interference,
		recorder:     recorder,
		cuts:         cuts,
		tickedAt:     clock.Now(),
		incarnation:  host.Incarnation,
	}
	w.forget()
	w.endpoint = dotterendpoint.New(host.Address, w.routes(), nil)
	recorder.AddWorker(host)
	return w
}

// Open starts serving.
func (w *Worker) Open() error {
	return w.endpoint.Open()
}

// Close stops serving.
func (w *Worker) Close() {
	w.gate.Set(false)
	w.endpoint.Close()
}

// Host returns the worker's row for the host list.
func (w *Worker) Host() dotterhost.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	host := w.host
	host.Address = w.endpoint.Address()
	host.Incarnation = w.incarnation
	return host
}

// SetFault replaces what is wrong with the worker. A worker that was dead
// comes back as a new incarnation.
func (w *Worker) SetFault(fault dotterfault.Worker) error {
	w.mu.Lock()
	w.tick()
	before := w.fault
	w.changeClock(fault.ClockFrozen)
	w.fault = fault
	w.tickedAt = w.clock.Now()
	if fault.Frozen && !before.Frozen {
		w.suspend()
	}
	if !fault.Frozen && before.Frozen {
		w.resume()
	}
	if fault.Dead && !before.Dead {
		w.die()
	}
	w.mu.Unlock()
	w.gate.Set(fault.Frozen)
	if fault.Dead {
		w.endpoint.Close()
		return nil
	}
	return w.endpoint.Open()
}

// Restart ends the process with all it runs and starts a new one at the same address.
func (w *Worker) Restart() error {
	if err := w.SetFault(dotterfault.Worker{Dead: true}); err != nil {
		return err
	}
	return w.SetFault(dotterfault.Worker{})
}

// Tick runs the attempts up to the present.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
}

// now returns the instant on the worker's own clock. The caller holds mu.
func (w *Worker) now() dotterclock.Millis {
	if w.fault.ClockFrozen {
		return w.frozenClock
	}
	return w.clock.Now() + w.offset
}

// platformTime returns an instant of the worker's own clock on the platform's;
// an instant of a clock that stands still never comes. The caller holds mu.
func (w *Worker) platformTime(instant dotterclock.Millis) dotterclock.Millis {
	if w.fault.ClockFrozen {
		return math.MaxInt64
	}
	return instant - w.offset
}

// changeClock stops or starts the worker's own clock. The caller holds mu.
func (w *Worker) changeClock(frozen bool) {
	if frozen && !w.fault.ClockFrozen {
		w.frozenClock = w.now()
	}
}

// held returns the room of the running attempts. The caller holds mu.
func (w *Worker) held() dotterroom.Room {
	var held dotterroom.Room
	for _, a := range w.attempts {
		if a.running() {
			held = held.Add(a.start.Size)
		}
	}
	return held
}

// suspend records that the running attempts do nothing. The caller holds mu.
func (w *Worker) suspend() {
	for _, a := range w.attempts {
		if a.running() {
			w.recorder.SuspendRun(a.run)
		}
	}
}

// resume ends the attempts whose leases lapsed meanwhile and runs the others on. The caller holds mu.
func (w *Worker) resume() {
	w.lapse()
	for _, a := range w.attempts {
		if a.running() {
			w.recorder.ResumeRun(a.run)
		}
	}
}

// die ends everything that runs without a trace on the worker. The caller holds mu.
func (w *Worker) die() {
	for _, a := range w.attempts {
		if a.running() {
			w.finish(a, dotterattempt.PhaseFailed, "the worker died")
		}
	}
	w.incarnation++
	w.forget()
}

// forget clears what a process keeps in memory. The caller holds mu.
func (w *Worker) forget() {
	w.epochs = map[string]int64{}
	w.attempts = map[dotterattempt.Ref]*attempt{}
	w.finished = map[dotterattempt.Ref]bool{}
	w.usage = nil
}
