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

// newDialer returns a dialer whose connections the kernel gives up when the
// other end no longer acknowledges.
func newDialer(settings Settings) *net.Dialer {
	return &net.Dialer{
		Timeout: settings.DialMillis.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, settings.UserMillis)
		},
	}
}

func setUserTimeout(raw syscall.RawConn, span dotterclock.Millis) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span))
	})
	if err != nil {
		return err
	}
	return failed
}
