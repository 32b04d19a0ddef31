package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// syncInterval is the maximum time between two reads of the host list. Besides
// changes of the list itself, a read finds workers in racks that the shard layout
// has assigned to the shard since the last one.
const syncInterval = dotterclock.Second

// syncDue reports whether the host list has changed or syncInterval has passed.
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

// syncWorkers updates the known workers from the host list.
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

// unlistWorker marks w as missing from the host list. It deletes w once the
// platform has removed it and no attempt is bound to it.
func (o *Owner) unlistWorker(w *worker, now dotterclock.Millis) {
	if w.listed {
		w.listed = false
		w.unlistedSince = now
		o.dirty = true
		return
	}
	if len(w.attempts) == 0 && !w.callInFlight && w.removedByPlatform(now, o.limits) {
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
		w.needsInventory = true
		w.nextCall = 0
	}
	if w.host != host || !w.listed {
		o.dirty = true
	}
	w.host = host
	w.listed = true
}

// workerOf returns the worker with the given name. If it is unknown, it is added
// as an unlisted worker, which has no address and can't be called; attempts bound
// to it stay bound.
func (o *Owner) workerOf(name string) *worker {
	w, ok := o.workers[name]
	if ok {
		return w
	}
	w = newWorker(dotterhost.Host{Name: name, Role: dotterhost.RoleWorker})
	w.listed = false
	w.failures = 1
	w.unlistedSince = o.options.Clock.Now()
	o.workers[name] = w
	return w
}

func (o *Owner) addAttempt(w *worker, a *attempt) {
	a.worker = w.host.Name
	o.attempts[a.task.ID] = a
	w.attempts[a.task.ID] = a
}

func (o *Owner) removeAttempt(a *attempt) {
	if o.attempts[a.task.ID] != a {
		return
	}
	delete(o.attempts, a.task.ID)
	if w, ok := o.workers[a.worker]; ok && w.attempts[a.task.ID] == a {
		delete(w.attempts, a.task.ID)
	}
	o.dirty = true
}

// usable reports whether new attempts may be placed on w.
func (o *Owner) usable(w *worker) bool {
	return w.listed && w.host.Live() && w.reachable() && !w.needsInventory && !o.draining(w)
}

func (o *Owner) draining(w *worker) bool {
	return !w.host.Live() || o.document.IsDraining(w.host.Name) || o.domainOut()
}

func (o *Owner) domainOut() bool {
	return o.document.DomainOut(o.options.Shard.FailureDomain)
}

// startAllowed reports whether task may start now and, if not, the reason.
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
