package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// syncInterval is the longest time between two looks at the host list, which
// also shows racks that the layout has given to the shard since.
const syncInterval = dotterclock.Second

// syncDue reports whether the host list changed, or wasn't looked at for a while.
func (o *Owner) syncDue(now dotterclock.Millis) bool {
	select {
	case <-o.hostsChanged:
	default:
		if now < o.nextSync {
			return false
		}
	}
	o.nextSync = now + syncInterval
	o.hostsChanged = o.options.Directory.Changed()
	return true
}

// syncWorkers brings the workers in step with the host list.
func (o *Owner) syncWorkers() {
	now := o.options.Clock.Now()
	listed := make(map[string]struct{})
	for _, h := range o.options.Directory.Hosts() {
		if h.Role != dotterhost.RoleWorker || !o.options.OwnsWorker(h) {
			continue
		}
		listed[h.Name] = struct{}{}
		o.listWorker(h)
	}
	for name, w := range o.workers {
		if _, ok := listed[name]; !ok {
			o.unlistWorker(w, now)
		}
	}
}

// unlistWorker notes that w is off the host list, and forgets it once it is
// gone and nothing is bound to it.
func (o *Owner) unlistWorker(w *worker, now dotterclock.Millis) {
	if w.listed {
		w.listed = false
		w.missingSince = now
		o.dirty = true
		return
	}
	if len(w.runs) == 0 && !w.calling && w.gone(now, o.limits) {
		delete(o.workers, w.host.Name)
	}
}

func (o *Owner) listWorker(host dotterhost.Host) {
	w, known := o.workers[host.Name]
	if !known {
		o.workers[host.Name] = newWorker(host)
		o.dirty = true
		return
	}
	if w.host.Incarnation != host.Incarnation || w.host.Address != host.Address {
		w.suspect = true
		w.nextCall = 0
	}
	if w.host != host || !w.listed {
		o.dirty = true
	}
	w.host = host
	w.listed = true
}

// workerOf returns the worker called name; one that isn't listed has no address
// and can't be called, but what is bound to it stays bound.
func (o *Owner) workerOf(name string) *worker {
	w, ok := o.workers[name]
	if ok {
		return w
	}
	w = newWorker(dotterhost.Host{Name: name, Role: dotterhost.RoleWorker})
	w.listed = false
	w.failures = 1
	w.missingSince = o.options.Clock.Now()
	o.workers[name] = w
	return w
}

func (o *Owner) addRun(w *worker, r *run) {
	r.worker = w.host.Name
	o.runs[r.task.ID] = r
	w.runs[r.task.ID] = r
}

func (o *Owner) removeRun(r *run) {
	if o.runs[r.task.ID] != r {
		return
	}
	delete(o.runs, r.task.ID)
	if w, ok := o.workers[r.worker]; ok && w.runs[r.task.ID] == r {
		delete(w.runs, r.task.ID)
	}
	o.dirty = true
}

// usable reports whether new attempts may be placed on w.
func (o *Owner) usable(w *worker) bool {
	return w.listed && w.host.Live() && w.reachable() && !w.suspect && !o.draining(w)
}

func (o *Owner) draining(w *worker) bool {
	return !w.host.Live() || o.document.Drained(w.host.Name) || o.domainOut()
}

func (o *Owner) domainOut() bool {
	return o.document.DomainOut(o.options.Shard.FailureDomain)
}

// startAllowed reports whether task may start now, and why not.
func (o *Owner) startAllowed(task dottertask.Task) (bool, string) {
	if o.permission.Allowed {
		return true, ""
	}
	if o.permission.Overridable && o.allowsCutOffStarts(task.Template) {
		return true, ""
	}
	return false, o.permission.Reason
}

func (o *Owner) isBusy(id dottertask.ID) bool {
	return o.busy[id] > 0
}
