package dotterconnection

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	keepaliveIdle     = 2 * time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 3
)

// newDialer returns a dialer whose connections the kernel closes when the server no
// longer acknowledges data or keepalive probes.
func newDialer(settings Settings) *net.Dialer {
	return &net.Dialer{
		Timeout: settings.DialTimeoutMillis.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, settings.UserTimeoutMillis)
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, the longest time that sent data may stay
// unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout dotterclock.Millis) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
	})
	if err != nil {
		return err
	}
	return sockErr
}
