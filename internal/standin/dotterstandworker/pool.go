package dotterstandworker

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// tickSpan is the time between two steps of the workers.
const tickSpan dotterclock.Millis = 10

// Pool makes workers run.
type Pool struct {
	workers []*Worker
	tomb    tomb.Tomb
}

// NewPool starts to run the workers.
func NewPool(workers []*Worker) *Pool {
	p := &Pool{workers: workers}
	p.tomb.Go(p.run)
	return p
}

// Close stops running the workers.
func (p *Pool) Close() {
	p.tomb.Kill(nil)
	p.tomb.Wait()
}

func (p *Pool) run() error {
	ticker := time.NewTicker(tickSpan.Duration())
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
