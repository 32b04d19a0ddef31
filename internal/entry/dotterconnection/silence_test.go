package dotterconnection

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// relay passes bytes on to a server; connections made before Silence still have
// their bytes acknowledged, but these go nowhere.
type relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64

	mu    sync.Mutex
	pairs []*pair
}

// pair is one relayed connection.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.pairs {
			_ = p.near.Close()
			_ = p.far.Close()
		}
	})
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.accepted.Add(1)
		p := &pair{near: near, far: far}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.copy(far, near)
		go p.copy(near, far)
	}
}

func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// silence makes the connections that are open now go silent for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silent.Store(true)
	}
}

func (r *relay) host() dotterhost.Host {
	return dotterhost.Host{Name: "b1", Address: r.listener.Addr().String()}
}

// openConnections makes count requests at a time, so that count connections are idle after.
func openConnections(t *testing.T, c *Client, s *scripted, host dotterhost.Host, count int64, gate chan struct{}) {
	t.Helper()
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() {
			_, err := exchangeOnce(soon(t, patience), c, host, "opening")
			assert.NoError(t, err)
		})
	}
	require.Eventually(t, func() bool { return s.requests.Load() == count }, patience, tick)
	close(gate)
	callers.Wait()
}

// gated answers once gate is closed.
func gated(gate chan struct{}) func(net.Conn, *http.Request, int64) {
	return func(c net.Conn, _ *http.Request, _ int64) {
		<-gate
		_, _ = io.WriteString(c, text("ok"))
	}
}

func TestSilentConnectionsCostOneRequest(t *testing.T) {
	gate := make(chan struct{})
	s := newScripted(t, gated(gate))
	r := newRelay(t, s.listener.Addr().String())
	c, _ := client(t, Settings{ProbeIdleMillis: 60 * dotterclock.Second, ProbeMillis: 50, LateAnswerMillis: 50})
	openConnections(t, c, s, r.host(), 4, gate)
	r.silence()
	_, err := exchangeOnce(soon(t, 50*time.Millisecond), c, r.host(), "lost")
	require.ErrorIs(t, err, dotterelusher.ErrBackendIndeterminate)
	for range 8 {
		_, err := exchangeOnce(soon(t, patience), c, r.host(), "after")
		require.NoError(t, err)
	}
	assert.EqualValues(t, 4+8, s.requests.Load())
}

func TestLongIdleConnectionIsProbedBeforeUse(t *testing.T) {
	gate := make(chan struct{})
	s := newScripted(t, gated(gate))
	r := newRelay(t, s.listener.Addr().String())
	c, permits := client(t, Settings{ProbeIdleMillis: 1, ProbeMillis: 50, LateAnswerMillis: 50})
	openConnections(t, c, s, r.host(), 2, gate)
	r.silence()
	time.Sleep(5 * time.Millisecond)
	for range 4 {
		_, err := exchangeOnce(soon(t, patience), c, r.host(), "after")
		require.NoError(t, err)
	}
	assert.EqualValues(t, 2+4, s.requests.Load())
	require.Eventually(t, func() bool {
		_, free := permits.Slots("b1")
		return free == 8
	}, patience, tick)
}

func TestProbedConnectionThatAnswersIsKept(t *testing.T) {
	gate := make(chan struct{})
	s := newScripted(t, gated(gate))
	c, _ := client(t, Settings{ProbeIdleMillis: 1, ProbeMillis: 20 * dotterclock.Second})
	openConnections(t, c, s, s.host(), 1, gate)
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		_, err := exchangeOnce(soon(t, patience), c, s.host(), "after")
		require.NoError(t, err)
	}
	assert.LessOrEqual(t, s.accepted.Load(), int64(4))
}
