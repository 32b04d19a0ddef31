package dotterdaemon

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterdirectory"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dottermember"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterrevision"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterlist"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
)

// cluster holds the components that coordinate this process with the other entry hosts.
type cluster struct {
	mesh       *dotterpeer.Mesh
	directory  *dotterdirectory.Directory
	ledger     *dotterslot.Ledger
	membership *dottermember.Membership
	tracker    *dotterrevision.Tracker
	editor     *dotterrevision.Editor
}

func newCluster(s dottersettings.Settings, store dotterelusher.Store, clock dotterelusher.Clock, logger *zap.Logger, registerer prometheus.Registerer) (*cluster, error) {
	identity := dotterpeer.Identity{
		Name:          s.Host,
		FailureDomain: s.FailureDomain,
		Incarnation:   int64(clock.Now()),
		Address:       s.PeerAdvertise,
		CallerAddress: s.CallerAdvertise,
	}
	peerSettings := dotterpeer.Settings{Identity: identity, Listen: s.PeerListen, Seeds: s.SeedPeers}
	mesh, err := dotterpeer.New(peerSettings, clock, logger, dotterpeer.NewMetrics(registerer))
	if err != nil {
		return nil, err
	}
	list := dotterlist.New(s.HostListAddress, s.Host)
	directory := dotterdirectory.New(list, clock, logger, dotterdirectory.NewMetrics(registerer))
	ledger := dotterslot.NewLedger(clock, dotterslot.DefaultReclaimDelay, dotterslot.NewMetrics(registerer))
	memberSettings := dottermember.Settings{LeaseDuration: s.Timing.StoreLeaseMillis, ListLag: s.Timing.HostListLagMillis}
	return &cluster{
		mesh:       mesh,
		directory:  directory,
		ledger:     ledger,
		membership: dottermember.NewMembership(memberSettings, store, mesh, directory, ledger, clock, logger, dottermember.NewMetrics(registerer)),
		tracker:    dotterrevision.NewTracker(store, mesh, clock, logger, dotterrevision.NewMetrics(registerer)),
		editor:     dotterrevision.NewEditor(store, clock, dotterconfig.Document.Check),
	}, nil
}

func (c *cluster) start() {
	c.mesh.Start()
	c.directory.Start()
	c.tracker.Start()
	c.membership.Start()
}

// stop stops all components. The mesh is last, since it holds the peer address.
func (c *cluster) stop() error {
	return errors.Join(c.membership.Stop(), c.tracker.Stop(), c.directory.Stop(), c.mesh.Stop())
}

func (c *cluster) revision() int64 {
	document, _ := c.tracker.Current()
	return document.Revision
}

// timeSinceHeard returns the time between the last message from peer and now.
func timeSinceHeard(peer dotterelusher.Peer, now dotterclock.Millis) dotterclock.Millis {
	return max(now-peer.HeardAt, 0)
}
