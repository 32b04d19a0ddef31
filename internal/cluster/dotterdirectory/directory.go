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

// Spans of polling.
const (
	// PollPeriod is the span between two reads of the list.
	PollPeriod = dotterclock.Second
	// readTimeout bounds one read.
	readTimeout = 2 * dotterclock.Second
)

var _ dotterelusher.Directory = (*Directory)(nil)

// Directory is the last good copy of the host list.
type Directory struct {
	list    dotterelusher.HostList
	clock   dotterelusher.Clock
	logger  *zap.Logger
	metrics *Metrics
	tomb    tomb.Tomb

	mu      sync.Mutex
	hosts   []dotterhost.Host // replaced whole, never changed
	readAt  dotterclock.Millis
	firstAt dotterclock.Millis            // the first good read
	missing map[string]dotterclock.Millis // first good read without a host that was listed before
	changed chan struct{}
}

// New returns a directory that is empty until Start has read the list.
func New(list dotterelusher.HostList, clock dotterelusher.Clock, logger *zap.Logger, metrics *Metrics) *Directory {
	return &Directory{
		list:    list,
		clock:   clock,
		logger:  logger,
		metrics: metrics,
		missing: map[string]dotterclock.Millis{},
		changed: make(chan struct{}),
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

// Hosts returns the rows last read; the caller must not change them.
func (d *Directory) Hosts() []dotterhost.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Absence returns the span, by the clock of the reads, over which every good
// read has shown the list without host, or false for a host that is listed.
func (d *Directory) Absence(host string) (since, until dotterclock.Millis, absent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since, ok := d.missing[host]; ok {
		return since, d.readAt, true
	}
	for _, h := range d.hosts {
		if h.Name == host {
			return 0, 0, false
		}
	}
	return d.firstAt, d.readAt, d.firstAt > 0
}

func (d *Directory) poll() error {
	for {
		d.Refresh(d.tomb.Context(context.Background()))
		span := PollPeriod*3/4 + rand.N(PollPeriod/2)
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.clock.After(span):
		}
	}
}

// Refresh reads the list once; a failed read changes nothing.
func (d *Directory) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	hosts, err := d.list.Hosts(ctx)
	if err != nil {
		d.metrics.failures.Inc()
		d.logger.Debug("reading the host list", zap.Error(err))
		return
	}
	d.take(hosts)
}

// take makes hosts the rows last read.
func (d *Directory) take(hosts []dotterhost.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.noteMissing(hosts, now)
	d.readAt = now
	if d.firstAt == 0 {
		d.firstAt = now
	}
	d.metrics.hosts.Set(float64(len(hosts)))
	if d.hosts != nil && reflect.DeepEqual(d.hosts, hosts) {
		return
	}
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

// noteMissing remembers hosts that were listed and are no longer.
func (d *Directory) noteMissing(hosts []dotterhost.Host, now dotterclock.Millis) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		delete(d.missing, h.Name)
	}
	for _, h := range d.hosts {
		if !listed[h.Name] {
			d.missing[h.Name] = now
		}
	}
	for name, since := range d.missing {
		if now-since > forgetSpan {
			delete(d.missing, name)
		}
	}
}

// forgetSpan bounds the memory of hosts that are no longer listed; a host that
// is forgotten counts as absent since the first read.
const forgetSpan = 24 * 3600 * dotterclock.Second
