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
	patience = 60 * time.Second
	look     = 5 * time.Millisecond
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

func linked(m *Mesh, count int) func() bool {
	return func() bool { return len(m.Live()) == count }
}

func TestOneLinkWhenBothDial(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x", Incarnation: 1})
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x", Incarnation: 1}, a.Identity().Address)
	a.SetAddresses([]string{b.Identity().Address})
	a.Announce(func(s State) State { return s.WithRevision(7).WithShards([]string{"x-0"}) })
	a.Start()
	b.Start()
	require.Eventually(t, linked(a, 1), patience, look)
	require.Eventually(t, func() bool {
		live := b.Live()
		return len(live) == 1 && live[0].Revision == 7 && len(live[0].Shards) == 1
	}, patience, look)
	for m, other := range map[*Mesh]string{a: "b", b: "a"} {
		require.Eventually(t, func() bool {
			var reply struct{ From string }
			err := m.Call(t.Context(), other, "Echo", "hello", &reply)
			return err == nil && reply.From == m.Identity().Name
		}, patience, look)
	}
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(a.metrics.links) == 1 && a.connections() == 1 && b.connections() == 1
	}, patience, look)
}

// connections returns the number of open connections.
func (m *Mesh) connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open
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
	require.Eventually(t, linked(b, 1), patience, look)

	require.ErrorIs(t, b.Call(t.Context(), "nobody", "Echo", nil, nil), dotterelusher.ErrPeerUnreachable)
	require.ErrorIs(t, b.Call(t.Context(), "a", "Echo", strings.Repeat("x", MessageLimit), nil), ErrMessageTooLarge)
	var remote *RemoteError
	require.ErrorAs(t, b.Call(t.Context(), "a", "Fail", nil, nil), &remote)
	require.Equal(t, "no luck", remote.Message)
	require.ErrorAs(t, b.Call(t.Context(), "a", "NoSuchMethod", nil, nil), &remote)

	ended := make(chan error, 1)
	go func() { ended <- b.Call(context.Background(), "a", "Hang", nil, nil) }()
	<-entered
	require.NoError(t, a.Stop())
	require.ErrorIs(t, <-ended, dotterelusher.ErrPeerIndeterminate)
	require.Eventually(t, linked(b, 0), patience, look)
}

func TestBusyPeerRefusesUnsent(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, a.Identity().Address)
	var entered sync.WaitGroup
	entered.Add(concurrentCalls)
	release := make(chan struct{})
	a.Handle("Hang", func(context.Context, string, json.RawMessage) (any, error) {
		entered.Done()
		<-release
		return nil, nil
	})
	a.Start()
	b.Start()
	require.Eventually(t, linked(b, 1), patience, look)
	var calls sync.WaitGroup
	for range concurrentCalls {
		calls.Go(func() { _ = b.Call(context.Background(), "a", "Hang", nil, nil) })
	}
	entered.Wait()
	require.ErrorIs(t, b.Call(t.Context(), "a", "Echo", nil, nil), dotterelusher.ErrPeerUnreachable)
	close(release)
	calls.Wait()
}

func TestNewIncarnationReplacesTheOld(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	a.Start()
	former := newMesh(t, Identity{Name: "b", FailureDomain: "x", Incarnation: 1}, a.Identity().Address)
	former.Start()
	require.Eventually(t, linked(a, 1), patience, look)
	next := newMesh(t, Identity{Name: "b", FailureDomain: "x", Incarnation: 2, CallerAddress: "127.0.0.1:1"}, a.Identity().Address)
	next.Start()
	require.Eventually(t, func() bool {
		live := a.Live()
		return len(live) == 1 && live[0].CallerAddress == "127.0.0.1:1"
	}, patience, look)
}

// relay passes connections on to a target until it is told to swallow what
// the open ones carry.
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
		go pass(in, out, silent)
		go pass(out, in, silent)
	}
}

// pass copies until silent is closed, then still reads, so that bytes are
// acknowledged, but passes nothing on.
func pass(from, to net.Conn, silent chan struct{}) {
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

func TestSilentLinkIsClosedAndDialledAgain(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	a.Start()
	r := newRelay(t, a.Identity().Address)
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, r.listener.Addr().String())
	b.Start()
	require.Eventually(t, linked(b, 1), patience, look)
	r.silence()
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(a.metrics.silent) > 0 || testutil.ToFloat64(b.metrics.silent) > 0
	}, patience, look)
	require.Eventually(t, func() bool {
		return b.Call(t.Context(), "a", "Echo", nil, nil) == nil
	}, patience, look)
	require.Eventually(t, func() bool { return b.connections() == 1 }, patience, look)
}

// expectNext sets the span until the next heartbeat, once there was one.
func (l *link) expectNext(span dotterclock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.period = span
	return l.heard > l.since
}

// TestUnansweredCallFindsASilentLink has both sides expect heartbeats so late
// that these alone would not find it.
func TestUnansweredCallFindsASilentLink(t *testing.T) {
	a := newMesh(t, Identity{Name: "a", FailureDomain: "x"})
	a.Start()
	r := newRelay(t, a.Identity().Address)
	b := newMesh(t, Identity{Name: "b", FailureDomain: "x"}, r.listener.Addr().String())
	b.Start()
	require.Eventually(t, linked(b, 1), patience, look)
	require.Eventually(t, linked(a, 1), patience, look)
	slowest := func(m *Mesh) func() bool {
		return func() bool { return m.snapshot()[0].expectNext(3600 * dotterclock.Second) }
	}
	require.Eventually(t, slowest(a), patience, look)
	require.Eventually(t, slowest(b), patience, look)
	r.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, b.Call(ctx, "a", "Echo", nil, nil), dotterelusher.ErrPeerIndeterminate)
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(b.metrics.silent) > 0 && b.Call(t.Context(), "a", "Echo", nil, nil) == nil
	}, patience, look)
}
