package dotterqueues

import (
	"slices"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Queue takes jobs in under one host name and path.
type Queue struct {
	Host        string // of callers' requests
	Prefix      string // of their paths
	Service     string // whose workers run the tasks
	Rank        int    // 0 comes first
	MaxAttempts int    // failed runs after which a task is given up
	Stretch     float64
	Target      dotterclock.Millis // beyond Stretch times the longest chain of work
	Advice      *Advice            // nil: every worker of the service may run its tasks
}

// Advice says what asking the queue's admission policy costs.
type Advice struct {
	PerRequest dotterclock.Millis // for each question
	PerWorker  dotterclock.Millis // for each worker named in it
	Valid      dotterclock.Millis // how long a ticket holds
}

// Name returns the host and prefix, which name the queue.
func (q Queue) Name() string {
	return q.Host + q.Prefix
}

// Service is a pool of workers.
type Service struct {
	RejectsOverload bool // its workers reject what does not fit
	Spare           bool // its workers are off
}

// Limits bounds callers' requests.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout dotterclock.Millis
	IdleTimeout   dotterclock.Millis
}

// Document is one version of the configuration.
type Document struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	queues   map[string]Queue
	byHost   map[string][]Queue // longest prefix first
}

// NewDocument returns a document with the queues, of which a later one replaces
// an earlier one of the same name.
func NewDocument(version int64, queues []Queue, services map[string]Service, limits Limits) Document {
	d := Document{
		Version: version, Services: services, Limits: limits,
		queues: map[string]Queue{}, byHost: map[string][]Queue{},
	}
	for _, q := range queues {
		d.queues[q.Name()] = q
	}
	for _, q := range d.queues {
		d.byHost[q.Host] = append(d.byHost[q.Host], q)
	}
	for _, qs := range d.byHost {
		slices.SortFunc(qs, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return d
}

// Queue returns the queue called name.
func (d Document) Queue(name string) (Queue, bool) {
	q, ok := d.queues[name]
	return q, ok
}

// Find returns the queue of host with the longest prefix of path.
func (d Document) Find(host, path string) (Queue, bool) {
	for _, q := range d.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return Queue{}, false
}
