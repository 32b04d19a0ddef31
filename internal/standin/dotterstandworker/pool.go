package dotterstandworker

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// tickInterval is the time between two ticks of the workers.
const tickInterval dotterclock.Millis = 10

// Pool periodically ticks a set of workers.
type Pool struct {
	workers []*Worker
	tomb    tomb.Tomb
}

// NewPool starts ticking the workers.
func NewPool(workers []*Worker) *Pool {
	p := &Pool{workers: workers}
	p.tomb.Go(p.run)
	return p
}

// Close stops the ticks and waits for the current one to finish.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	p.tomb.Wait()
}

func (p *Pool) run() error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
			for _, w := range p.workers {
				w.Tick()
			}
		}
	}
}
