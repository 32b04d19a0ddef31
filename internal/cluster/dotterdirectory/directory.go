package dotterdirectory

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sync"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Polling intervals and timeouts.
const (
	// PollPeriod is the mean interval between reads of the list.
	PollPeriod = dotterclock.Second
	// readTimeout is the timeout of one read.
	readTimeout = 2 * dotterclock.Second
)

var _ dotterelusher.Directory = (*Directory)(nil)

// Directory holds the host list as of the last successful read.
type Directory struct {
	list    dotterelusher.HostList
	clock   dotterelusher.Clock
	logger  *zap.Logger
	metrics *Metrics
	tomb    tomb.Tomb

	mu          sync.Mutex
	hosts       []dotterhost.Host // replaced as a whole, never modified in place
	readAt      dotterclock.Millis
	firstReadAt dotterclock.Millis            // first successful read; zero if none
	absentSince map[string]dotterclock.Millis // by host listed before: first successful read without it
	changed     chan struct{}
}

// New returns a directory that is empty until Start has read the list.
func New(list dotterelusher.HostList, clock dotterelusher.Clock, logger *zap.Logger, metrics *Metrics) *Directory {
	return &Directory{
		list:        list,
		clock:       clock,
		logger:      logger,
		metrics:     metrics,
		absentSince: map[string]dotterclock.Millis{},
		changed:     make(chan struct{}),
	}
}

// Start polls the list until Stop.
func (d *Directory) Start() {
	d.tomb.Go(d.poll)
}

// Stop ends polling.
func (d *Directory) Stop() error {
	d.tomb.Kill(nil)
	return d.tomb.Wait()
}

// Hosts returns the hosts of the last successful read; the caller must not modify the slice.
func (d *Directory) Hosts() []dotterhost.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts
}

// Changed returns a channel that is closed when the list next changes.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Absence returns the times of the first and the last of the most recent
// successful reads that all lacked host. It returns false if host is listed or
// the list has never been read.
func (d *Directory) Absence(host string) (since, until dotterclock.Millis, absent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since, ok := d.absentSince[host]; ok {
		return since, d.readAt, true
	}
	for _, h := range d.hosts {
		if h.Name == host {
			return 0, 0, false
		}
	}
	return d.firstReadAt, d.readAt, d.firstReadAt > 0
}

func (d *Directory) poll() error {
	for {
		d.Refresh(d.tomb.Context(context.Background()))
		wait := PollPeriod*3/4 + rand.N(PollPeriod/2)
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.clock.After(wait):
		}
	}
}

// Refresh reads the list once. If the read fails, the directory stays unchanged.
func (d *Directory) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	hosts, err := d.list.Hosts(ctx)
	if err != nil {
		d.metrics.failures.Inc()
		d.logger.Debug("cannot read the host list", zap.Error(err))
		return
	}
	d.update(hosts)
}

// update stores hosts as the result of the last successful read.
func (d *Directory) update(hosts []dotterhost.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.updateAbsent(hosts, now)
	d.readAt = now
	if d.firstReadAt == 0 {
		d.firstReadAt = now
	}
	d.metrics.hosts.Set(float64(len(hosts)))
	if d.hosts != nil && reflect.DeepEqual(d.hosts, hosts) {
		return
	}
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

// updateAbsent records when previously listed hosts disappeared, and drops
// entries of hosts that reappeared or exceeded absenceRetention.
func (d *Directory) updateAbsent(hosts []dotterhost.Host, now dotterclock.Millis) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		delete(d.absentSince, h.Name)
	}
	for _, h := range d.hosts {
		if !listed[h.Name] {
			d.absentSince[h.Name] = now
		}
	}
	for name, since := range d.absentSince {
		if now-since > absenceRetention {
			delete(d.absentSince, name)
		}
	}
}

// absenceRetention is how long the absence of a host is recorded, which bounds
// memory use. After that, Absence reports the host as absent since the first read.
const absenceRetention = 24 * 3600 * dotterclock.Second
