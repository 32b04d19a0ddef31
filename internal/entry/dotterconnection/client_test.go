package dotterconnection

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
)

// breakAfterFirst answers the first request and breaks the connection on every later one.
func breakAfterFirst(c net.Conn, _ *http.Request, number int64) {
	if number == 1 {
		_, _ = io.WriteString(c, text("first"))
		return
	}
	_ = c.Close()
}

func TestRequestIsSentOnceWhenItsConnectionBreaks(t *testing.T) {
	s := newScripted(t, breakAfterFirst)
	c, _ := client(t, Settings{LateAnswerMillis: 10})
	body, err := exchangeOnce(soon(t, patience), c, s.host(), "r1")
	require.NoError(t, err)
	require.Equal(t, "first", body)
	_, err = exchangeOnce(soon(t, patience), c, s.host(), "r2")
	require.ErrorIs(t, err, dotterelusher.ErrBackendIndeterminate)
	assert.EqualValues(t, 2, s.requests.Load())
	assert.EqualValues(t, 1, s.accepted.Load())
}

// TestTransportWouldSendTwice shows what the package keeps out: the standard
// library's Transport sends the same request again by itself.
func TestTransportWouldSendTwice(t *testing.T) {
	s := newScripted(t, breakAfterFirst)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	first, err := transport.RoundTrip(post(soon(t, patience), s.host().Address, "r1"))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, first.Body)
	require.NoError(t, first.Body.Close())
	second := post(soon(t, patience), s.host().Address, "r2")
	second.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader("body of r2")), nil }
	_, err = transport.RoundTrip(second)
	require.Error(t, err)
	assert.EqualValues(t, 3, s.requests.Load())
}

func TestLostAnswersAreToldApartFromUnsentRequests(t *testing.T) {
	tests := map[string]struct {
		answer string // sent before the connection is closed
		reset  bool
	}{
		"closed before the first byte":  {},
		"reset before the first byte":   {reset: true},
		"closed in the head":            {answer: "HTTP/1.1 200 OK\r\nContent-Le"},
		"closed in the body":            {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		"reset in the body":             {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", reset: true},
		"closed in a chunk":             {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
		"closed before the last chunk":  {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		"end told only by the closing":  {answer: "HTTP/1.1 200 OK\r\n\r\nperhaps all"},
		"answer to another request":     {answer: "HTTP/1.1 200 OK\r\nDotter-Request: r0\r\nContent-Length: 2\r\n\r\nno"},
		"not HTTP":                      {answer: "220 mail.example ready\r\n\r\n"},
		"only informational answers":    {answer: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInformations)},
		"protocol switched":             {answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		"informational, then cut short": {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t, func(c net.Conn, _ *http.Request, _ int64) {
				_, _ = io.WriteString(c, tc.answer)
				if tc.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			c, _ := client(t, Settings{LateAnswerMillis: 10})
			_, err := exchangeOnce(soon(t, patience), c, s.host(), "r1")
			require.ErrorIs(t, err, dotterelusher.ErrBackendIndeterminate)
			require.NotErrorIs(t, err, dotterelusher.ErrBackendNotSent)
			assert.EqualValues(t, 1, s.requests.Load())
		})
	}
}

func TestUnsentRequestsAreKnownAsSuch(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	live := newScripted(t, breakAfterFirst)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx         context.Context
		address     string
		connections int
	}{
		"refused":       {soon(t, patience), closed.Addr().String(), 1},
		"no connection": {soon(t, patience), live.host().Address, 0},
		"time is up":    {over, live.host().Address, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(dotterfake.NewPermits(1, tc.connections), dotterclock.NewSystem(), Settings{DialMillis: 50})
			defer func() { require.NoError(t, c.Close()) }()
			_, err := exchangeOnce(tc.ctx, c, dotterhost.Host{Name: "b1", Address: tc.address}, "r1")
			require.ErrorIs(t, err, dotterelusher.ErrBackendNotSent)
			assert.Equal(t, name == "no connection", errors.Is(err, ErrNoConnection))
		})
	}
	assert.Zero(t, live.requests.Load())
}

func TestNoAnswerReachesAnotherRequest(t *testing.T) {
	tests := map[string]func(c net.Conn, id string){
		"oversized": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, text(id)+"and more than was announced")
		},
		"sent twice": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, text(id)+text(id))
		},
		"sent twice, the second late": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, text(id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, text(id))
		},
		"closed after it": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, text(id))
			_ = c.Close()
		},
		"late": func(c net.Conn, id string) {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, text(id))
		},
	}
	for name, misbehave := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t, func(c net.Conn, r *http.Request, _ int64) {
				misbehave(c, r.Header.Get("Dotter-Request"))
			})
			c, _ := client(t, Settings{LateAnswerMillis: 100})
			for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
				body, err := exchangeOnce(soon(t, 20*time.Millisecond), c, s.host(), id)
				if err == nil {
					assert.Equal(t, id, body)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

func TestSlotOfLateRequestIsFreeOnceItIsAnswered(t *testing.T) {
	answer := make(chan struct{})
	s := newScripted(t, func(c net.Conn, _ *http.Request, _ int64) {
		<-answer
		_, _ = io.WriteString(c, text("late"))
	})
	c, permits := client(t, Settings{LateAnswerMillis: 60 * dotterclock.Second})
	_, err := exchangeOnce(soon(t, 20*time.Millisecond), c, s.host(), "r1")
	var lost *LostError
	require.True(t, errors.As(err, &lost))
	require.True(t, lost.TimedOut)
	select {
	case <-lost.Ended:
		t.Fatal("the slot counts as free while the request runs")
	case <-time.After(50 * time.Millisecond):
	}
	close(answer)
	select {
	case <-lost.Ended:
	case <-time.After(patience):
		t.Fatal("the slot is never free again")
	}
	require.Eventually(t, func() bool { return permits.Connections("b1") == 0 }, patience, tick)
}

func TestSlotOfBrokenRequestIsKeptUnlessTheServerClosed(t *testing.T) {
	tests := map[string]struct {
		answer string
		reset  bool
		kept   bool
	}{
		"closed":         {"", false, false},
		"closed half":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false, false},
		"reset":          {"", true, true},
		"not understood": {"220 mail.example ready\r\n\r\n", false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t, func(c net.Conn, _ *http.Request, _ int64) {
				_, _ = io.WriteString(c, tc.answer)
				if tc.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			c, permits := client(t, Settings{LateAnswerMillis: 60 * dotterclock.Second})
			_, err := exchangeOnce(soon(t, patience), c, s.host(), "r1")
			var lost *LostError
			require.ErrorAs(t, err, &lost)
			assert.Equal(t, 1, permits.Connections("b1"), "the connection is kept in any case")
			if !tc.kept {
				<-lost.Ended
				return
			}
			select {
			case <-lost.Ended:
				t.Error("the slot counts as free")
			case <-time.After(50 * time.Millisecond):
			}
		})
	}
}

func TestServerNeverHasMoreConnectionsThanPermits(t *testing.T) {
	var most, now int
	var mu sync.Mutex
	s := newScripted(t, func(c net.Conn, _ *http.Request, number int64) {
		mu.Lock()
		now++
		most = max(most, now)
		mu.Unlock()
		time.Sleep(time.Millisecond)
		mu.Lock()
		now--
		mu.Unlock()
		if number%5 == 0 {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, text("ok"))
	})
	c := New(dotterfake.NewPermits(8, 3), dotterclock.NewSystem(), Settings{LateAnswerMillis: 20, DialMillis: 20000})
	defer func() { require.NoError(t, c.Close()) }()
	var callers sync.WaitGroup
	for range 12 {
		callers.Go(func() {
			for range 20 {
				_, _ = exchangeOnce(context.Background(), c, s.host(), "r")
				assert.LessOrEqual(t, s.open.Load(), int64(3))
			}
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	assert.LessOrEqual(t, most, 3)
	assert.EqualValues(t, 12*20, s.requests.Load())
}

// TestLostConnectionKeepsItsPermit: the server may not know yet that the
// connection is gone, so no other takes its place before it is closed.
func TestLostConnectionKeepsItsPermit(t *testing.T) {
	release := make(chan struct{})
	s := newScripted(t, func(net.Conn, *http.Request, int64) { <-release })
	defer close(release)
	c := New(dotterfake.NewPermits(8, 1), dotterclock.NewSystem(), Settings{LateAnswerMillis: 60 * dotterclock.Second, DialMillis: 20})
	_, err := exchangeOnce(soon(t, 20*time.Millisecond), c, s.host(), "r1")
	require.ErrorIs(t, err, dotterelusher.ErrBackendIndeterminate)
	for range 3 {
		_, err = exchangeOnce(soon(t, patience), c, s.host(), "r2")
		require.ErrorIs(t, err, dotterelusher.ErrBackendNotSent)
	}
	assert.EqualValues(t, 1, s.accepted.Load())
	_ = s.listener.Close()
	s.closeAll()
	require.NoError(t, c.Close())
}

func TestWithdrawnConnectionsAreClosed(t *testing.T) {
	release := make(chan struct{})
	s := newScripted(t, func(c net.Conn, _ *http.Request, number int64) {
		if number > 1 {
			<-release
		}
		_, _ = io.WriteString(c, text("ok"))
	})
	c, permits := client(t, Settings{})
	_, err := exchangeOnce(soon(t, patience), c, s.host(), "r1")
	require.NoError(t, err)
	require.Equal(t, 1, permits.Connections("b1"))
	permits.WithdrawConnections("b1")
	require.Eventually(t, func() bool { return permits.Connections("b1") == 0 && s.open.Load() == 0 }, patience, tick)

	done := make(chan error, 1)
	go func() {
		_, err := exchangeOnce(context.Background(), c, s.host(), "r2")
		done <- err
	}()
	require.Eventually(t, func() bool { return s.requests.Load() == 2 }, patience, tick)
	permits.WithdrawConnections("b1")
	assert.Equal(t, 1, permits.Connections("b1"))
	close(release)
	require.NoError(t, <-done)
	require.Eventually(t, func() bool { return permits.Connections("b1") == 0 && s.open.Load() == 0 }, patience, tick)
}
