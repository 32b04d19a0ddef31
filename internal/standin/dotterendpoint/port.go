package dotterendpoint

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// bindTimeout limits the retries while the previous listener is still closing.
const bindTimeout = dotterclock.Second

// noSocket means that no socket reserves the port.
const noSocket = -1

// reservePort binds a socket to address without listening, so that no other
// process can bind the port, and returns the socket, or noSocket on failure.
// Connections to the port are refused, as if the process were dead. If the port
// were released, the kernel could assign it to the server of another test, which
// would then answer in place of the closed endpoint.
func reservePort(address string) int {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return noSocket
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noSocket
	}
	// Without SO_REUSEADDR, recently closed connections would make bind fail.
	err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = bind(socket, &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	}
	if err != nil {
		unix.Close(socket)
		return noSocket
	}
	return socket
}

// bind binds socket to address. It retries because the listener closes asynchronously.
func bind(socket int, address *unix.SockaddrInet4) error {
	deadline := time.Now().Add(bindTimeout.Duration())
	for {
		err := unix.Bind(socket, address)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// releasePort closes the socket that reserves a port.
func releasePort(socket int) {
	if socket != noSocket {
		unix.Close(socket)
	}
}
