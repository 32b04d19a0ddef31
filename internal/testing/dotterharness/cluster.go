package dotterharness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterstore"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// AwaitTimeout limits every wait for a condition.
const AwaitTimeout = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// logTailBytes limits how much of each daemon's log a failed test prints.
const logTailBytes = 2000

// clusterCount gives each cluster of this process its own loopback addresses.
var clusterCount atomic.Uint32

// Cluster is a stand-in platform and its entry hosts, each a separate process.
type Cluster struct {
	StandIn *StandIn
	Hosts   []*EntryHost

	t       testing.TB
	http    *http.Client
	options Options

	mu       sync.Mutex
	isSilent func(from, to string) bool // whether new links between two entry hosts drop their traffic
}

// NewCluster starts a cluster and waits until every entry host is ready. The
// cluster is stopped when the test ends.
func NewCluster(t testing.TB, options Options) *Cluster {
	t.Helper()
	standIn, err := StartStandIn(options.standInArguments()...)
	require.NoError(t, err)
	c := &Cluster{
		StandIn:  standIn,
		t:        t,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		options:  options,
		isSilent: func(string, string) bool { return false },
	}
	t.Cleanup(c.close)
	c.putConfiguration(options.Configuration)
	c.addHosts()
	for _, h := range c.Hosts {
		c.Start(h)
	}
	for _, h := range c.Hosts {
		c.AwaitReady(h)
	}
	return c
}

// Host returns an entry host by its failure domain and its index, from 0.
func (c *Cluster) Host(domain string, index int) *EntryHost {
	name := hostName(domain, index)
	for _, h := range c.Hosts {
		if h.Name() == name {
			return h
		}
	}
	require.FailNow(c.t, "no such entry host", name)
	return nil
}

// Start starts the host's daemon and adds the host to the host list.
func (c *Cluster) Start(h *EntryHost) {
	c.t.Helper()
	require.NoError(c.t, h.start())
	require.NoError(c.t, c.StandIn.AddHost(h.Row()))
}

// Remove kills the host's daemon and deletes the host from the host list.
func (c *Cluster) Remove(h *EntryHost) {
	c.t.Helper()
	h.Kill()
	require.NoError(c.t, c.StandIn.RemoveHost(h.Name()))
}

// AwaitReady waits until the host's /readyz reports that it is ready.
func (c *Cluster) AwaitReady(h *EntryHost) {
	c.t.Helper()
	c.Await("entry host "+h.Name()+" is ready", func() bool {
		require.True(c.t, h.Alive(), "the daemon of %s exited: %v", h.Name(), h.Err())
		response, err := c.http.Get("http://" + h.Settings.OperatorListen + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Await waits until the condition holds, and fails the test after AwaitTimeout.
func (c *Cluster) Await(what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(AwaitTimeout)
	for !condition() {
		require.True(c.t, time.Now().Before(end), "timed out waiting until %s", what)
		time.Sleep(pollInterval)
	}
}

// AwaitWith waits like Await and includes the result of last in the failure message.
func (c *Cluster) AwaitWith(what string, condition func() bool, last func() any) {
	c.t.Helper()
	end := time.Now().Add(AwaitTimeout)
	for !condition() {
		require.True(c.t, time.Now().Before(end), "timed out waiting until %s; last: %+v", what, last())
		time.Sleep(pollInterval)
	}
}

// Fault posts a control call, such as a fault to inject, to the stand-in.
func (c *Cluster) Fault(path string, call any) {
	c.t.Helper()
	require.NoError(c.t, c.StandIn.Post(path, call))
}

// Truth returns the state and history recorded by the stand-in.
func (c *Cluster) Truth() dottertruth.Truth {
	c.t.Helper()
	truth, err := c.StandIn.Truth()
	require.NoError(c.t, err)
	return truth
}

// Executions returns the recorded executions of each request, by request ID.
func (c *Cluster) Executions() map[string][]dottertruth.Execution {
	c.t.Helper()
	executions, err := c.StandIn.Executions()
	require.NoError(c.t, err)
	byRequest := map[string][]dottertruth.Execution{}
	for _, e := range executions {
		byRequest[e.Request] = append(byRequest[e.Request], e)
	}
	return byRequest
}

// SilenceLinks drops the traffic of all links between entry hosts for which
// rule returns true, without closing them. The rule replaces the previous one
// and also applies to new links. A silenced link stays silent for good.
func (c *Cluster) SilenceLinks(rule func(from, to *EntryHost) bool) {
	byName := map[string]*EntryHost{}
	for _, h := range c.Hosts {
		byName[h.Name()] = h
	}
	isSilent := func(from, to string) bool {
		f, t := byName[from], byName[to]
		return f != nil && t != nil && rule(f, t)
	}
	c.mu.Lock()
	c.isSilent = isSilent
	c.mu.Unlock()
	for _, h := range c.Hosts {
		h.peers.silence(isSilent)
		h.callers.silence(isSilent)
	}
}

// putConfiguration writes the first configuration directly to the store.
func (c *Cluster) putConfiguration(document dotterconfig.Document) {
	c.t.Helper()
	content, err := json.Marshal(document)
	require.NoError(c.t, err)
	store := dotterstore.New(c.StandIn.Ready.Platform, clientName, dotterstore.DefaultLimits(), dotterclock.NewSystem())
	defer store.Close()
	_, err = store.Put(context.Background(), dotterconfig.Key, content, 0, "")
	require.NoError(c.t, err)
}

func (c *Cluster) addHosts() {
	c.t.Helper()
	directory := c.t.TempDir()
	number := clusterCount.Add(1)
	for _, d := range c.options.FailureDomains {
		for i := range c.options.EntryHosts {
			settings := c.options.settings(d, hostName(d, i), c.StandIn.Ready.Platform)
			name := settings.Host
			identify := func(n net.Conn) *link { return c.identifyLink(n, name) }
			if c.options.Direct {
				identify = nil
			}
			h, err := newEntryHost(settings, loopback(number, len(c.Hosts)), directory, identify)
			require.NoError(c.t, err)
			h.descriptors = c.options.Descriptors
			c.Hosts = append(c.Hosts, h)
		}
	}
	c.addSeeds()
}

// addSeeds configures every daemon with the peer addresses of all others.
func (c *Cluster) addSeeds() {
	for _, h := range c.Hosts {
		for _, other := range c.Hosts {
			if other != h {
				h.Settings.SeedPeers = append(h.Settings.SeedPeers, other.Settings.PeerAdvertise)
			}
		}
	}
}

// identifyLink returns the link of a connection that was accepted by the relay
// of the host named to, with the name of the entry host that dialed it.
func (c *Cluster) identifyLink(n net.Conn, to string) *link {
	l := &link{to: to}
	for _, h := range c.Hosts {
		if pid := int(h.pid.Load()); pid != 0 && ownsConnection(pid, n.RemoteAddr(), n.LocalAddr()) {
			l.from = h.Name()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.silent.Store(c.isSilent(l.from, l.to))
	return l
}

func (c *Cluster) close() {
	if c.t.Failed() {
		c.showLogs()
	}
	for _, h := range c.Hosts {
		h.close()
	}
	c.StandIn.Kill()
	c.http.CloseIdleConnections()
}

func (c *Cluster) showLogs() {
	for _, h := range c.Hosts {
		content, err := os.ReadFile(h.LogPath())
		if err != nil {
			continue
		}
		c.t.Logf("end of the log of %s:\n%s", h.Name(), content[max(0, len(content)-logTailBytes):])
	}
}

func hostName(domain string, index int) string {
	return fmt.Sprintf("%s-e%d", domain, index+1)
}

// loopback returns an address that other clusters on this machine, including
// those of other processes, are unlikely to use.
func loopback(cluster uint32, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, cluster%250+1, index+1)
}
