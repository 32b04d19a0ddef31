package dottermember

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterdirectory"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

const (
	waitTimeout  = 60 * time.Second
	pollInterval = 10 * time.Millisecond
)

// hostList is a host list with contents set by the test.
type hostList struct {
	mu          sync.Mutex
	hosts       []dotterhost.Host
	unavailable bool
}

func (l *hostList) Hosts(context.Context) ([]dotterhost.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, dotterelusher.ErrHostListUnavailable
	}
	return slices.Clone(l.hosts), nil
}

func (l *hostList) set(unavailable bool, hosts ...dotterhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	l.hosts = hosts
}

// node is the membership components of one daemon.
type node struct {
	mesh       *dotterpeer.Mesh
	directory  *dotterdirectory.Directory
	ledger     *dotterslot.Ledger
	membership *Membership
}

func startNode(t *testing.T, name, address string, store dotterelusher.Store, list dotterelusher.HostList, seeds ...string) *node {
	t.Helper()
	clock := dotterclock.NewSystem()
	registry := prometheus.NewRegistry()
	logger := zap.NewNop()
	identity := dotterpeer.Identity{Name: name, FailureDomain: "a", Incarnation: time.Now().UnixNano(), Address: address}
	mesh, err := dotterpeer.New(dotterpeer.Settings{Identity: identity, Seeds: seeds}, clock, logger, dotterpeer.NewMetrics(registry))
	require.NoError(t, err)
	directory := dotterdirectory.New(list, clock, logger, dotterdirectory.NewMetrics(registry))
	ledger := dotterslot.NewLedger(clock, 0, dotterslot.NewMetrics(registry))
	settings := Settings{LeaseDuration: 500, ListLag: 1500}
	n := &node{
		mesh:       mesh,
		directory:  directory,
		ledger:     ledger,
		membership: NewMembership(settings, store, mesh, directory, ledger, clock, logger, NewMetrics(registry)),
	}
	directory.Start()
	n.membership.Start()
	mesh.Start()
	t.Cleanup(n.kill)
	return n
}

// kill stops the node without leaving the record.
func (n *node) kill() {
	_ = n.membership.Stop()
	_ = n.directory.Stop()
	_ = n.mesh.Stop()
}

func (n *node) usable(server string) int {
	usable, _ := n.ledger.Slots(server)
	return usable
}

func backend(name string) dotterhost.Host {
	return dotterhost.Host{Name: name, FailureDomain: "a", Role: dotterhost.RoleBackend, State: dotterhost.StateLive, Slots: 8, Connections: 64}
}

func entry(name string) dotterhost.Host {
	return dotterhost.Host{Name: name, FailureDomain: "a", Role: dotterhost.RoleEntry, State: dotterhost.StateLive}
}
