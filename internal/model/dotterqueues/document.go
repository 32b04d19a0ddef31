package dotterqueues

import (
	"maps"
	"slices"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Queue accepts jobs under one host name and path prefix.
type Queue struct {
	Host        string             // host name of callers' requests
	Prefix      string             // prefix of the paths of callers' requests
	Service     string             // service whose workers run the tasks
	Rank        int                // priority; 0 is the highest
	MaxAttempts int                // failed runs after which a task fails
	Stretch     float64            // factor on the longest chain of work in the target run time
	Target      dotterclock.Millis // added to Stretch times the longest chain of work
	Advice      *Advice            // nil if every worker of the service may run its tasks
	Public      bool               // calls need no key, and its jobs belong to no tenant
}

// Advice is the time that the queue's admission policy takes to answer, and how long
// its answers are valid.
type Advice struct {
	PerRequest dotterclock.Millis // for each request
	PerWorker  dotterclock.Millis // for each worker named in the request
	Valid      dotterclock.Millis // how long a ticket is valid
}

// Settings returns the settings of the queue that decide how its jobs run.
func (q Queue) Settings() dotterjob.QueueSettings {
	s := dotterjob.QueueSettings{Service: q.Service, Rank: q.Rank, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target}
	if q.Advice != nil {
		advice := dotterjob.AdviceSettings(*q.Advice)
		s.Advice = &advice
	}
	return s
}

// WithSettings returns a copy of the queue with the settings.
func (q Queue) WithSettings(s dotterjob.QueueSettings) Queue {
	q.Service, q.Rank, q.MaxAttempts, q.Stretch, q.Target, q.Advice = s.Service, s.Rank, s.MaxAttempts, s.Stretch, s.Target, nil
	if s.Advice != nil {
		advice := Advice(*s.Advice)
		q.Advice = &advice
	}
	return q
}

// Name returns the name of the queue, which is the host followed by the prefix.
func (q Queue) Name() string {
	return q.Host + q.Prefix
}

// Objective returns the target run time of a job whose longest chain of work takes the
// given time.
func (q Queue) Objective(chain dotterclock.Millis) dotterclock.Millis {
	return dotterclock.Millis(max(1, q.Stretch)*float64(chain)) + q.Target
}

// Service is a pool of workers.
type Service struct {
	RejectsOverload bool // its workers reject tasks that do not fit
	Spare           bool // its workers are switched off
}

// Limits are the limits on callers' HTTP requests.
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
	byHost   map[string][]Queue // by host name, longest prefix first
	tenants  map[string]Tenant  // by name; empty if the configuration has no tenants
	byKey    map[string]string  // names of tenants by key
}

// NewDocument returns a document with the queues. Of several queues with the same
// name the last one is used.
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

// WithTenants returns d with the tenants. Of several tenants with the same name or key the
// last one is used.
func (d Document) WithTenants(tenants []Tenant) Document {
	d.tenants, d.byKey = map[string]Tenant{}, map[string]string{}
	for _, t := range tenants {
		d.tenants[t.Name] = t
		for _, key := range t.Keys {
			d.byKey[key] = t.Name
		}
	}
	return d
}

// HasTenants reports whether callers of queues that are not public need a key.
func (d Document) HasTenants() bool {
	return len(d.tenants) > 0
}

// Tenants returns the tenants by name. The map must not be changed.
func (d Document) Tenants() map[string]Tenant {
	return d.tenants
}

// Tenant returns the tenant called name, or false if there is none.
func (d Document) Tenant(name string) (Tenant, bool) {
	t, ok := d.tenants[name]
	return t, ok
}

// TenantByKey returns the tenant that the key belongs to, or false if the key is unknown.
func (d Document) TenantByKey(key string) (Tenant, bool) {
	name, ok := d.byKey[key]
	if !ok {
		return Tenant{}, false
	}
	return d.Tenant(name)
}

// KeysChanged returns the names of the tenants that have other keys than in the previous
// document, or are in one of the two only, sorted.
func (d Document) KeysChanged(previous Document) []string {
	var names []string
	for name := range d.tenants {
		if !maps.Equal(d.keysOf(name), previous.keysOf(name)) {
			names = append(names, name)
		}
	}
	for name := range previous.tenants {
		if _, ok := d.tenants[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// keysOf returns the keys of the tenant called name.
func (d Document) keysOf(name string) map[string]bool {
	keys := map[string]bool{}
	for _, key := range d.tenants[name].Keys {
		keys[key] = true
	}
	return keys
}

// Queue returns the queue called name, or false if there is none.
func (d Document) Queue(name string) (Queue, bool) {
	q, ok := d.queues[name]
	return q, ok
}

// Find returns the queue of host with the longest prefix that matches path, or false
// if none matches.
func (d Document) Find(host, path string) (Queue, bool) {
	for _, q := range d.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return Queue{}, false
}
