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

// Limits on the state that a worker keeps.
const (
	maxUsageSamples = 10_000  // usage samples kept; the oldest are dropped
	maxFinished     = 100_000 // ended attempts remembered; later ones are not
)

// Worker is a simulated worker.
type Worker struct {
	host         dotterhost.Host
	clock        dotterelusher.Clock
	offset       dotterclock.Millis // of the worker's clock from the platform's
	options      Options
	interference *Interference
	recorder     *dottertruth.Recorder
	partitions   *dotterfault.Partitions
	endpoint     *dotterendpoint.Endpoint
	gate         dotterendpoint.Gate

	mu          sync.Mutex
	fault       dotterfault.Worker
	frozenClock dotterclock.Millis // reading of the clock while it is stopped
	tickedAt    dotterclock.Millis
	incarnation int64
	epochs      map[string]int64
	attempts    map[dotterattempt.Ref]*attempt
	finished    map[dotterattempt.Ref]bool
	usage       []dotterattempt.Usage
}

// New returns a worker that listens on host.Address once it is opened and whose own
// clock has the given offset from clock.
func New(host dotterhost.Host, clock dotterelusher.Clock, offset dotterclock.Millis, options Options,
	interference *Interference, recorder *dottertruth.Recorder, partitions *dotterfault.Partitions) *Worker {
	w := &Worker{
		host:         host,
		clock:        clock,
		offset:       offset,
		options:      options,
		interference: interference,
		recorder:     recorder,
		partitions:   partitions,
		tickedAt:     clock.Now(),
		incarnation:  host.Incarnation,
	}
	w.resetState()
	w.endpoint = dotterendpoint.New(host.Address, w.routes(), nil)
	recorder.AddWorker(host)
	return w
}

// Open starts serving.
func (w *Worker) Open() error {
	return w.endpoint.Open()
}

// Close stops serving and closes all connections.
func (w *Worker) Close() {
	w.gate.SetClosed(false)
	w.endpoint.Close()
}

// Host returns the worker's host list entry, with its current address and incarnation.
func (w *Worker) Host() dotterhost.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	host := w.host
	host.Address = w.endpoint.Address()
	host.Incarnation = w.incarnation
	return host
}

// SetFault replaces the worker's faults. A worker that was dead restarts as a new
// incarnation.
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
		w.terminate()
	}
	w.mu.Unlock()
	w.gate.SetClosed(fault.Frozen)
	if fault.Dead {
		w.endpoint.Close()
		return nil
	}
	return w.endpoint.Open()
}

// Restart terminates the worker and its attempts and starts it again on the same address.
func (w *Worker) Restart() error {
	if err := w.SetFault(dotterfault.Worker{Dead: true}); err != nil {
		return err
	}
	return w.SetFault(dotterfault.Worker{})
}

// Tick advances the attempts to the current time.
func (w *Worker) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
}

// now returns the current time on the worker's own clock. The caller holds mu.
func (w *Worker) now() dotterclock.Millis {
	if w.fault.ClockFrozen {
		return w.frozenClock
	}
	return w.clock.Now() + w.offset
}

// platformTime converts an instant of the worker's clock to the platform's clock.
// While the worker's clock is stopped, the instant is never reached. The caller
// holds mu.
func (w *Worker) platformTime(instant dotterclock.Millis) dotterclock.Millis {
	if w.fault.ClockFrozen {
		return math.MaxInt64
	}
	return instant - w.offset
}

// changeClock records the reading of the worker's clock if it is to be stopped. The caller holds mu.
func (w *Worker) changeClock(frozen bool) {
	if frozen && !w.fault.ClockFrozen {
		w.frozenClock = w.now()
	}
}

// held returns the resources reserved for the running attempts. The caller holds mu.
func (w *Worker) held() dotterroom.Room {
	var held dotterroom.Room
	for _, a := range w.attempts {
		if a.running() {
			held = held.Add(a.start.Size)
		}
	}
	return held
}

// suspend records that the running attempts are suspended. The caller holds mu.
func (w *Worker) suspend() {
	for _, a := range w.attempts {
		if a.running() {
			w.recorder.SuspendRun(a.run)
		}
	}
}

// resume ends the attempts whose leases have expired in the meantime and records that
// the others resume. The caller holds mu.
func (w *Worker) resume() {
	w.expireLeases()
	for _, a := range w.attempts {
		if a.running() {
			w.recorder.ResumeRun(a.run)
		}
	}
}

// terminate ends all running attempts, discards the worker's state and starts a new
// incarnation. The caller holds mu.
func (w *Worker) terminate() {
	for _, a := range w.attempts {
		if a.running() {
			w.finish(a, dotterattempt.PhaseFailed, "the worker died")
		}
	}
	w.incarnation++
	w.resetState()
}

// resetState discards the state that is lost when the process ends. The caller holds mu.
func (w *Worker) resetState() {
	w.epochs = map[string]int64{}
	w.attempts = map[dotterattempt.Ref]*attempt{}
	w.finished = map[dotterattempt.Ref]bool{}
	w.usage = nil
}
