package dotterdaemon

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
)

// startsAllowed is the value of Starts while this host may start tasks.
const startsAllowed = "Allowed"

// notReady returns the reasons why this host accepts no work. It returns nil if it does.
func (d *Daemon) notReady() []string {
	var reasons []string
	if d.leaving.Load() {
		reasons = append(reasons, "shutting down")
	}
	if _, ok := d.cluster.tracker.Current(); !ok {
		reasons = append(reasons, "no configuration yet")
	}
	if len(d.cluster.directory.Hosts()) == 0 {
		reasons = append(reasons, "no host list yet")
	}
	return reasons
}

// status returns this host's view of the entry hosts, backend servers and shards.
func (d *Daemon) status() dottermessage.StatusAnswer {
	answer := dottermessage.StatusAnswer{
		Host:          d.settings.Host,
		FailureDomain: d.settings.FailureDomain,
		Region:        d.settings.Region,
		Revision:      d.cluster.revision(),
		NotReady:      d.notReady(),
		Starts:        startsAllowed,
		EntryHosts:    d.entryHosts(),
		Backends:      d.backends(),
		Shards:        d.shards(),
	}
	permission := d.cluster.tracker.StartsAllowed(d.settings.FailureDomain)
	if !permission.Allowed {
		answer.Starts = permission.Reason
	}
	return answer
}

// entryHosts returns the live peers, followed by entry hosts that are in the host list
// but not reached.
func (d *Daemon) entryHosts() []dottermessage.EntryHostStatus {
	now := d.clock.Now()
	heard := map[string]bool{d.settings.Host: true}
	var hosts []dottermessage.EntryHostStatus
	for _, p := range d.cluster.mesh.Live() {
		heard[p.Name] = true
		hosts = append(hosts, dottermessage.EntryHostStatus{
			Host:          p.Name,
			FailureDomain: p.FailureDomain,
			Reached:       true,
			Revision:      p.Revision,
			HeardAgo:      timeSinceHeard(p, now),
			FreeSlots:     p.FreeSlots,
			Leaving:       p.Leaving,
		})
	}
	for _, h := range d.cluster.directory.Hosts() {
		if h.Role == dotterhost.RoleEntry && !heard[h.Name] {
			hosts = append(hosts, dottermessage.EntryHostStatus{Host: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	return hosts
}

// backends returns the backend servers in this host's failure domain.
func (d *Daemon) backends() []dottermessage.BackendStatus {
	var backends []dottermessage.BackendStatus
	for _, h := range d.cluster.directory.Hosts() {
		if h.Role != dotterhost.RoleBackend || h.FailureDomain != d.settings.FailureDomain {
			continue
		}
		usable, free := d.cluster.ledger.Slots(h.Name)
		backends = append(backends, dottermessage.BackendStatus{
			Host: h.Name, Service: h.Service, State: string(h.State), Usable: usable, Free: free,
		})
	}
	return backends
}

// shards returns the shards that this host owns.
func (d *Daemon) shards() []dottermessage.ShardStatus {
	var shards []dottermessage.ShardStatus
	for _, s := range d.tasks.Shards() {
		shards = append(shards, dottermessage.ShardStatus{
			Shard: s.Shard, Epoch: s.Epoch, Workers: s.Workers, Queued: s.Queued, Running: s.Running, Ended: s.Ended,
		})
	}
	return shards
}
