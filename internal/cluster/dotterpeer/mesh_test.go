package dotterpeer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	waitTimeout  = 60 * time.Second
	pollInterval = 5 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newMesh(t testing.TB, identity Identity, seeds ...string) *Mesh {
	t.Helper()
	if identity.Address == "" {
		identity.Address = "127.0.0.1:0"
	}
	m, err := New(Settings{Identity: identity, Seeds: seeds}, dotterclock.NewSystem(), zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, m.Stop()) })
	m.Handle("Echo", func(_ context.Context, from string, args json.RawMessage) (any, error) {
		return map[string]any{"From": from, "Args": args}, nil
	})
	m.Handle("Fail", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, errors.New("no luck")
	})
	return m
}

func hasPeers(m *Mesh, count int) func() bool {
	return func() bool { return len(m.Live()) == count }
}

func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x", Incarnation: 1})
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x", Incarnation: 1}, a.Identity().Address)
	a.SetAddresses([]string{b.Identity().Address})
	a.Announce(func(s State) State { return s.WithRevision(7).WithShards([]string{"x-0"}) })
	a.Start()
	b.Start()
	require.Eventually(t, hasPeers(a, 1), waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		live := b.Live()
		return len(live) == 1 && live[0].Revision == 7 && len(live[0].Shards) == 1
	}, waitTimeout, pollInterval)
	for m, other := range map[*Mesh]string{a: "b", b: "a"} {
		require.Eventually(t, func() bool {
			var reply struct{ From string }
			err := m.Call(t.Context(), other, "Echo", "hello", &reply)
			return err == nil && reply.From == m.Identity().Name
		}, waitTimeout, pollInterval)
	}
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(a.metrics.links) == 1 && a.connections() == 1 && b.connections() == 1
	}, waitTimeout, pollInterval)
}

// connections returns the number of open connections, including those without an
// admitted link.
func (m *Mesh) connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.openConnections
}

func TestCallErrors(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, a.Identity().Address)
	entered := make(chan struct{})
	a.Handle("Hang", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a.Start()
	b.Start()
	require.Eventually(t, hasPeers(b, 1), waitTimeout, pollInterval)

	require.ErrorIs(t, b.Call(t.Context(), "nobody", "Echo", nil, nil), dotterelusher.ErrPeerUnreachable)
	require.ErrorIs(t, b.Call(t.Context(), "a", "Echo", strings.Repeat("x", MaxMessageBytes), nil), ErrMessageTooLarge)
	var remote *RemoteError
	require.ErrorAs(t, b.Call(t.Context(), "a", "Fail", nil, nil), &remote)
	require.Equal(t, "no luck", remote.Message)
	require.ErrorAs(t, b.Call(t.Context(), "a", "NoSuchMethod", nil, nil), &remote)

	ended := make(chan error, 1)
	go func() { ended <- b.Call(context.Background(), "a", "Hang", nil, nil) }()
	<-entered
	require.NoError(t, a.Stop())
	require.ErrorIs(t, <-ended, dotterelusher.ErrPeerIndeterminate)
	require.Eventually(t, hasPeers(b, 0), waitTimeout, pollInterval)
}

// TestPanicFailsItsCallOnly guards against a process that one call of a peer takes down.
func TestPanicFailsItsCallOnly(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, a.Identity().Address)
	a.Handle("Panic", func(context.Context, string, json.RawMessage) (any, error) { panic("unexpected") })
	a.Start()
	b.Start()
	require.Eventually(t, hasPeers(b, 1), waitTimeout, pollInterval)
	for range maxConcurrentCalls + 1 { // each gives its slot back
		var remote *RemoteError
		require.ErrorAs(t, b.Call(t.Context(), "a", "Panic", nil, nil), &remote)
	}
	require.NoError(t, b.Call(t.Context(), "a", "Echo", "hello", nil))
}

func TestCallAboveConcurrencyLimitIsUnreachable(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, a.Identity().Address)
	var entered sync.WaitGroup
	entered.Add(maxConcurrentCalls)
	release := make(chan struct{})
	a.Handle("Hang", func(context.Context, string, json.RawMessage) (any, error) {
		entered.Done()
		<-release
		return nil, nil
	})
	a.Start()
	b.Start()
	require.Eventually(t, hasPeers(b, 1), waitTimeout, pollInterval)
	var calls sync.WaitGroup
	for range maxConcurrentCalls {
		calls.Go(func() { _ = b.Call(context.Background(), "a", "Hang", nil, nil) })
	}
	entered.Wait()
	require.ErrorIs(t, b.Call(t.Context(), "a", "Echo", nil, nil), dotterelusher.ErrPeerUnreachable)
	close(release)
	calls.Wait()
}

func TestNewIncarnationReplacesOldLink(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	a.Start()
	previous := newMesh(t, Identity{Name: "b", FailureDomain: "x", Incarnation: 1}, a.Identity().Address)
	previous.Start()
	require.Eventually(t, hasPeers(a, 1), waitTimeout, pollInterval)
	next := newMesh(t, Identity{Name: "b", FailureDomain: "x", Incarnation: 2, CallerAddress: "127.0.0.1:1"}, a.Identity().Address)
	next.Start()
	require.Eventually(t, func() bool {
		live := a.Live()
		return len(live) == 1 && live[0].CallerAddress == "127.0.0.1:1"
	}, waitTimeout, pollInterval)
}

// relay is a TCP proxy that can be told to drop all further data on the connections
// that are open.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{}
	conns  []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target, silent: make(chan struct{})}
	go r.run()
	t.Cleanup(r.stop)
	return r
}

func (r *relay) run() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		silent := r.silent
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go forwardUntilSilent(in, out, silent)
		go forwardUntilSilent(out, in, silent)
	}
}

// forwardUntilSilent copies until silent is closed. After that it still reads, so
// that the sender's bytes are acknowledged, but drops what it reads.
func forwardUntilSilent(from, to net.Conn, silent chan struct{}) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := io.Copy(to, strings.NewReader(string(buffer[:n]))); err != nil {
			return
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *relay) stop() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

func TestSilentLinkIsClosedAndRedialed(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	a.Start()
	r := newRelay(t, a.Identity().Address)
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, r.listener.Addr().String())
	b.Start()
	require.Eventually(t, hasPeers(b, 1), waitTimeout, pollInterval)
	r.silence()
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(a.metrics.silentLinks) > 0 || testutil.ToFloat64(b.metrics.silentLinks) > 0
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		return b.Call(t.Context(), "a", "Echo", nil, nil) == nil
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return b.connections() == 1 }, waitTimeout, pollInterval)
}

// setRemotePeriod overrides the heartbeat period announced by the other side, and
// reports whether a heartbeat had arrived before.
func (l *link) setRemotePeriod(period dotterclock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remotePeriod = period
	return l.lastHeartbeat > l.startedAt
}

// TestUnansweredCallDetectsSilentLink checks that an unanswered call is enough to
// detect a silent link. Both sides expect heartbeats an hour apart, so that missing
// heartbeats alone would not reveal it.
func TestUnansweredCallDetectsSilentLink(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	a.Start()
	r := newRelay(t, a.Identity().Address)
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, r.listener.Addr().String())
	b.Start()
	require.Eventually(t, hasPeers(b, 1), waitTimeout, pollInterval)
	require.Eventually(t, hasPeers(a, 1), waitTimeout, pollInterval)
	delayHeartbeats := func(m *Mesh) func() bool {
		return func() bool { return m.currentLinks()[0].setRemotePeriod(3600 * dotterclock.Second) }
	}
	require.Eventually(t, delayHeartbeats(a), waitTimeout, pollInterval)
	require.Eventually(t, delayHeartbeats(b), waitTimeout, pollInterval)
	r.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, b.Call(ctx, "a", "Echo", nil, nil), dotterelusher.ErrPeerIndeterminate)
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(b.metrics.silentLinks) > 0 && b.Call(t.Context(), "a", "Echo", nil, nil) == nil
	}, waitTimeout, pollInterval)
}
