package dotterpeer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Timing and limits of the mesh.
const (
	// MinHeartbeatPeriod is the shortest time between two regular heartbeats.
	MinHeartbeatPeriod = dotterclock.Second
	// maxMissedHeartbeats is the number of periods without a heartbeat after
	// which a link is closed.
	maxMissedHeartbeats = 3
	// suspicionTimeout is the time within which a heartbeat must arrive on a link
	// on which a call went unanswered.
	suspicionTimeout = 2 * dotterclock.Second
	// heartbeatBytes is the size of a small heartbeat on the wire, including headers
	// and the TCP acknowledgement.
	heartbeatBytes = 170
	// heartbeatBytesPerSecond is the budget for heartbeats within the failure
	// domain, sent and received. Heartbeats to and from other failure domains have
	// a budget of the same size.
	heartbeatBytesPerSecond = 3500
	// dialInterval is the time between two checks for addresses to dial.
	dialInterval = 100 * dotterclock.Millisecond
	// handshakeTimeout bounds dialing and the exchange of identities.
	handshakeTimeout = 2 * dotterclock.Second
	// maxLinks is the limit of open connections and of addresses to dial.
	maxLinks = 1024
)

// ErrMeshListen means that the address for links cannot be bound.
var ErrMeshListen = eris.New("peer: can't listen")

var _ dotterelusher.Peers = (*Mesh)(nil)

// Mesh manages the links from this entry host to all others.
type Mesh struct {
	self     Identity
	seeds    []string
	clock    dotterelusher.Clock
	logger   *zap.Logger
	metrics  *Metrics
	listener net.Listener
	handlers map[string]dotterelusher.PeerHandler
	watchers []func(PeerState)
	tomb     tomb.Tomb

	mu              sync.Mutex
	links           map[string]*link // by name of the other host
	openConnections int              // open connections, including those that are not identified yet
	targets         map[string]*target
	state           State
}

// New binds the address for links, or returns ErrMeshListen. It accepts and dials
// no links before Start.
//
// The address stays bound until Stop. Other hosts conclude from another process
// bound to the address that this process is gone, so Stop must be called only
// after the last request has ended.
func New(settings Settings, clock dotterelusher.Clock, logger *zap.Logger, metrics *Metrics) (*Mesh, error) {
	listener, err := net.Listen("tcp", settings.bindAddress())
	if err != nil {
		return nil, eris.Wrap(ErrMeshListen, err.Error())
	}
	self := settings.Identity
	if settings.Listen == "" {
		self.Address = listener.Addr().String()
	}
	m := &Mesh{
		self:     self,
		seeds:    settings.Seeds,
		clock:    clock,
		logger:   logger,
		metrics:  metrics,
		listener: listener,
		handlers: map[string]dotterelusher.PeerHandler{},
		links:    map[string]*link{},
		targets:  map[string]*target{},
	}
	m.SetAddresses(nil)
	return m, nil
}

// Identity returns the identity of this process. If its address was given with
// port 0, it has the port that the kernel chose.
func (m *Mesh) Identity() Identity {
	return m.self
}

// Handle registers the handler of method. It must be called before Start.
func (m *Mesh) Handle(method string, handler dotterelusher.PeerHandler) {
	m.handlers[method] = handler
}

// Watch registers a function that is called with each state received from a peer,
// in order for each peer. It must be called before Start, and observe must return
// without delay.
func (m *Mesh) Watch(observe func(PeerState)) {
	m.watchers = append(m.watchers, observe)
}

// Start begins to accept links and to dial peers.
func (m *Mesh) Start() {
	m.tomb.Go(m.accept)
	m.tomb.Go(m.dialAll)
}

// Stop closes all links and releases the address.
func (m *Mesh) Stop() error {
	m.tomb.Kill(nil)
	if err := m.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		m.logger.Debug("failed to close peer listener", zap.Error(err))
	}
	return m.tomb.Wait()
}

// Announce changes the state that this host sends to the others. It is sent at
// once if others wait for the change, else with the next heartbeat, and a change of
// load only if it is large.
func (m *Mesh) Announce(change func(State) State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.state
	m.state = change(previous)
	if !m.state.changedUrgently(previous) {
		return
	}
	for _, l := range m.links {
		l.triggerHeartbeat()
	}
}

// State returns the state that this host sends to the others.
func (m *Mesh) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Live returns the peers to which there is a link, sorted by name.
func (m *Mesh) Live() []dotterelusher.Peer {
	links := m.currentLinks()
	peers := make([]dotterelusher.Peer, 0, len(links))
	for _, l := range links {
		peers = append(peers, l.peer())
	}
	slices.SortFunc(peers, func(a, b dotterelusher.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// Call calls method on host and decodes the answer into reply. The error is
// ErrPeerUnreachable, ErrPeerIndeterminate, ErrMessageTooLarge or a RemoteError.
func (m *Mesh) Call(ctx context.Context, host, method string, args, reply any) error {
	m.mu.Lock()
	l := m.links[host]
	m.mu.Unlock()
	if l == nil {
		return eris.Wrap(dotterelusher.ErrPeerUnreachable, host)
	}
	return l.call(ctx, method, args, reply)
}

func (m *Mesh) currentLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	return links
}

// heartbeatPeriod returns the time between two heartbeats to remote. It grows with
// the number of links that share the budget of heartbeatBytesPerSecond with it:
// those within the failure domain, or those to other failure domains.
func (m *Mesh) heartbeatPeriod(remote Identity) dotterclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	sameDomain := remote.FailureDomain == m.self.FailureDomain
	count := 0
	for _, l := range m.links {
		if sameDomain == (l.identity().FailureDomain == m.self.FailureDomain) {
			count++
		}
	}
	needed := dotterclock.Second * dotterclock.Millis(2*heartbeatBytes*count) / heartbeatBytesPerSecond
	return max(MinHeartbeatPeriod, needed)
}

func (m *Mesh) notifyWatchers(peerState PeerState) {
	for _, w := range m.watchers {
		w(peerState)
	}
}

// pause waits for duration and returns true, or returns false once the mesh is
// being stopped.
func (m *Mesh) pause(duration dotterclock.Millis) bool {
	select {
	case <-m.tomb.Dying():
		return false
	case <-m.clock.After(duration):
		return true
	}
}
