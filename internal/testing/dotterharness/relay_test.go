package dotterharness

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOwnsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	assert.True(t, ownsConnection(os.Getpid(), c.LocalAddr(), c.RemoteAddr()))
	assert.False(t, ownsConnection(os.Getppid(), c.LocalAddr(), c.RemoteAddr()))
}

// TestConnectionsSharingALocalPort checks that two connections from the same
// local address to different remote addresses are distinguished.
func TestConnectionsSharingALocalPort(t *testing.T) {
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		listeners[i] = l
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, Control: reuseAddress}
	first, err := dialer.Dial("tcp", listeners[0].Addr().String())
	require.NoError(t, err)
	defer first.Close()
	dialer.LocalAddr = first.LocalAddr()
	second, err := dialer.Dial("tcp", listeners[1].Addr().String())
	require.NoError(t, err)
	defer second.Close()
	assert.True(t, ownsConnection(os.Getpid(), first.LocalAddr(), listeners[0].Addr()))
	assert.True(t, ownsConnection(os.Getpid(), first.LocalAddr(), listeners[1].Addr()))
	assert.False(t, ownsConnection(os.Getpid(), first.LocalAddr(), listeners[2].Addr()))
}

func reuseAddress(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	})
	return errors.Join(err, optionErr)
}

func TestSilencedLinkStaysSilent(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	go echo(target)
	var silent atomic.Bool
	r, err := newRelay("127.0.0.1:0", target.Addr().String(), func(net.Conn) *link {
		l := &link{from: "x", to: "y"}
		l.silent.Store(silent.Load())
		return l
	})
	require.NoError(t, err)
	defer r.close()

	old := dial(t, r.address())
	require.NoError(t, roundTrip(old))
	r.silence(func(from, to string) bool { return from == "x" && to == "y" })
	require.ErrorIs(t, roundTrip(old), os.ErrDeadlineExceeded)
	require.NoError(t, roundTrip(dial(t, r.address())), "a new link is not silent")
	silent.Store(true)
	require.ErrorIs(t, roundTrip(dial(t, r.address())), os.ErrDeadlineExceeded)
}

func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go io.Copy(c, c)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends a line and waits for its echo.
func roundTrip(c net.Conn) error {
	if _, err := io.WriteString(c, "hello\n"); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}
