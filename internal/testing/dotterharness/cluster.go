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

// Patience bounds every wait for a condition.
const Patience = 60 * time.Second

// pollSpan is the time between two looks at a condition.
const pollSpan = 20 * time.Millisecond

// logTail is how much of each daemon's log a failed test shows, in bytes.
const logTail = 2000

// clusters numbers the clusters of this process, for their loopback addresses.
var clusters atomic.Uint32

// Cluster is a stand-in platform with entry hosts, all of them processes.
type Cluster struct {
	StandIn *StandIn
	Hosts   []*EntryHost

	t       testing.TB
	http    *http.Client
	options Options

	mu   sync.Mutex
	rule func(from, to string) bool // links that are silent
}

// NewCluster starts a cluster and waits until every entry host takes work. It
// ends with the test.
func NewCluster(t testing.TB, options Options) *Cluster {
	t.Helper()
	standIn, err := StartStandIn(options.standInArguments()...)
	require.NoError(t, err)
	c := &Cluster{
		StandIn: standIn,
		t:       t,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		options: options,
		rule:    func(string, string) bool { return false },
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

// Host returns the entry host of a failure domain by its number from 0.
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

// Start starts the host's daemon and puts its row into the host list.
func (c *Cluster) Start(h *EntryHost) {
	c.t.Helper()
	require.NoError(c.t, h.start())
	require.NoError(c.t, c.StandIn.AddHost(h.Row()))
}

// Remove kills the host's daemon and takes its row out of the host list.
func (c *Cluster) Remove(h *EntryHost) {
	c.t.Helper()
	h.Kill()
	require.NoError(c.t, c.StandIn.RemoveHost(h.Name()))
}

// AwaitReady waits until the host takes work.
func (c *Cluster) AwaitReady(h *EntryHost) {
	c.t.Helper()
	c.Await("entry host "+h.Name()+" is ready", func() bool {
		require.True(c.t, h.Alive(), "the daemon of %s ended: %v", h.Name(), h.Err())
		response, err := c.http.Get("http://" + h.Settings.OperatorListen + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Await waits until the condition holds.
func (c *Cluster) Await(what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(Patience)
	for !condition() {
		require.True(c.t, time.Now().Before(end), "waited in vain until %s", what)
		time.Sleep(pollSpan)
	}
}

// AwaitWith waits as Await does, and when it was in vain shows what last returns.
func (c *Cluster) AwaitWith(what string, condition func() bool, last func() any) {
	c.t.Helper()
	end := time.Now().Add(Patience)
	for !condition() {
		require.True(c.t, time.Now().Before(end), "waited in vain until %s; last: %+v", what, last())
		time.Sleep(pollSpan)
	}
}

// Fault makes a control call of the stand-in.
func (c *Cluster) Fault(path string, call any) {
	c.t.Helper()
	require.NoError(c.t, c.StandIn.Post(path, call))
}

// Truth returns what the stand-in saw.
func (c *Cluster) Truth() dottertruth.Truth {
	c.t.Helper()
	truth, err := c.StandIn.Truth()
	require.NoError(c.t, err)
	return truth
}

// Executions returns how often and where each request ran, by its id.
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

// SilenceLinks replaces the rule of which links between entry hosts are
// silent. A link that was silent once stays so; new ones follow the rule.
func (c *Cluster) SilenceLinks(rule func(from, to *EntryHost) bool) {
	byName := map[string]*EntryHost{}
	for _, h := range c.Hosts {
		byName[h.Name()] = h
	}
	named := func(from, to string) bool {
		f, t := byName[from], byName[to]
		return f != nil && t != nil && rule(f, t)
	}
	c.mu.Lock()
	c.rule = named
	c.mu.Unlock()
	for _, h := range c.Hosts {
		h.peers.silence(named)
		h.callers.silence(named)
	}
}

// putConfiguration writes the first configuration as the platform's operators would.
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
	number := clusters.Add(1)
	for _, d := range c.options.FailureDomains {
		for i := range c.options.EntryHosts {
			settings := c.options.settings(d, hostName(d, i), c.StandIn.Ready.Platform)
			name := settings.Host
			accept := func(n net.Conn) *link { return c.accept(n, name) }
			if c.options.Direct {
				accept = nil
			}
			h, err := newEntryHost(settings, loopback(number, len(c.Hosts)), directory, accept)
			require.NoError(c.t, err)
			c.Hosts = append(c.Hosts, h)
		}
	}
	c.addSeeds()
}

// addSeeds tells every daemon the peer addresses of all others.
func (c *Cluster) addSeeds() {
	for _, h := range c.Hosts {
		for _, other := range c.Hosts {
			if other != h {
				h.Settings.SeedPeers = append(h.Settings.SeedPeers, other.Settings.PeerAdvertise)
			}
		}
	}
}

// accept finds out who dialled the relay of the host called to.
func (c *Cluster) accept(n net.Conn, to string) *link {
	l := &link{to: to}
	for _, h := range c.Hosts {
		if h.Process != nil && ownsConnection(h.Pid(), n.RemoteAddr(), n.LocalAddr()) {
			l.from = h.Name()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.silent.Store(c.rule(l.from, l.to))
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
		c.t.Logf("end of the log of %s:\n%s", h.Name(), content[max(0, len(content)-logTail):])
	}
}

func hostName(domain string, index int) string {
	return fmt.Sprintf("%s-e%d", domain, index+1)
}

// loopback returns an address that no other cluster of this machine is likely to use.
func loopback(cluster uint32, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, cluster%250+1, index+1)
}
