package dotterendpoint

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// holdSpan bounds the wait for a listener that is closing.
const holdSpan = dotterclock.Second

// noHold is the hold of an endpoint that is open.
const noHold = -1

// hold keeps the port of address from being given to anyone else while nothing
// listens there, and returns the socket that does so, or noHold. Connections to
// the port are refused, as if the process were dead; were the port free, the
// kernel could give it to another test's server, which would answer in its place.
func hold(address string) int {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return noHold
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noHold
	}
	// Connections that were just closed would keep the address from being bound.
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = bind(socket, &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	}
	if err != nil {
		unix.Close(socket)
		return noHold
	}
	return socket
}

// bind binds socket, again for a while as the listener closes in the background.
func bind(socket int, address *unix.SockaddrInet4) error {
	end := time.Now().Add(holdSpan.Duration())
	for {
		err := unix.Bind(socket, address)
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// release gives a held port back.
func release(socket int) {
	if socket != noHold {
		unix.Close(socket)
	}
}
