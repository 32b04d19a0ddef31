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

// Pace of heartbeats.
const (
	// BeatPeriod is the shortest span between two regular heartbeats.
	BeatPeriod = dotterclock.Second
	// silentBeats is the number of periods after which a link without heartbeats is closed.
	silentBeats = 3
	// proofTimeout is how long a link that is suspected to be silent has to prove itself.
	proofTimeout = 2 * dotterclock.Second
	// beatBytes is what a small heartbeat costs on the wire, headers and the
	// transport's acknowledgement included.
	beatBytes = 170
	// beatBudget is the number of bytes a second that heartbeats within the
	// failure domain may cost, sent and received, and those to others again.
	beatBudget = 3500
	// dialPeriod is the span between two looks at which addresses are to be dialled.
	dialPeriod = 100 * dotterclock.Millisecond
	// handshakeTimeout bounds dialling and the exchange of identities.
	handshakeTimeout = 2 * dotterclock.Second
	// linkLimit is the most links at a time, and the most addresses dialled.
	linkLimit = 1024
)

// ErrMeshListen means that the address for links can't be bound.
var ErrMeshListen = eris.New("peer: can't listen")

var _ dotterelusher.Peers = (*Mesh)(nil)

// Mesh is this entry host's links to the others.
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

	mu      sync.Mutex
	links   map[string]*link // by name
	open    int              // connections, those not yet identified included
	targets map[string]*target
	state   State
}

// New binds the address for links, or returns ErrMeshListen. Nothing is
// accepted or dialled before Start.
//
// The address stays bound until Stop: that another process could bind it is
// taken as proof that this one is gone, so Stop comes after the last request.
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

// Identity returns who this process is; its address has the port that was bound.
func (m *Mesh) Identity() Identity {
	return m.self
}

// Handle registers the handler of method; it must be called before Start.
func (m *Mesh) Handle(method string, handler dotterelusher.PeerHandler) {
	m.handlers[method] = handler
}

// Watch registers a function that is called with each state that a peer tells,
// in order for each peer; it must return soon and be registered before Start.
func (m *Mesh) Watch(observe func(PeerState)) {
	m.watchers = append(m.watchers, observe)
}

// Start accepts links and dials peers.
func (m *Mesh) Start() {
	m.tomb.Go(m.accept)
	m.tomb.Go(m.dialAll)
}

// Stop ends all links and frees the address.
func (m *Mesh) Stop() error {
	m.tomb.Kill(nil)
	if err := m.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		m.logger.Debug("closing the peer listener", zap.Error(err))
	}
	return m.tomb.Wait()
}

// Announce changes what this host tells the others.
func (m *Mesh) Announce(change func(State) State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.state
	m.state = change(former)
	if !m.state.urgent(former) {
		return
	}
	for _, l := range m.links {
		l.hasten()
	}
}

// State returns what this host tells the others.
func (m *Mesh) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Live returns the peers heard from lately, sorted by name.
func (m *Mesh) Live() []dotterelusher.Peer {
	links := m.snapshot()
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

func (m *Mesh) snapshot() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	return links
}

// pace returns the span between two heartbeats to remote: the longer the more
// links there are of its kind, within the failure domain or to others.
func (m *Mesh) pace(remote Identity) dotterclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	near := remote.FailureDomain == m.self.FailureDomain
	alike := 0
	for _, l := range m.links {
		if near == (l.identity().FailureDomain == m.self.FailureDomain) {
			alike++
		}
	}
	needed := dotterclock.Second * dotterclock.Millis(2*beatBytes*alike) / beatBudget
	return max(BeatPeriod, needed)
}

func (m *Mesh) observe(told PeerState) {
	for _, w := range m.watchers {
		w(told)
	}
}

// pause waits for span and reports whether the mesh goes on.
func (m *Mesh) pause(span dotterclock.Millis) bool {
	select {
	case <-m.tomb.Dying():
		return false
	case <-m.clock.After(span):
		return true
	}
}
