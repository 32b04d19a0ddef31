package dotterwire

import (
	"net"
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Bounds of a client's connections to the platform.
const (
	dialSpan        = 1 * dotterclock.Second
	idleSpan        = 30 * dotterclock.Second
	keepAliveSpan   = 5 * dotterclock.Second
	idleConnections = 16
)

// NewClient returns an HTTP client for the platform that uses no proxy and follows no redirects.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialSpan.Duration(), KeepAlive: keepAliveSpan.Duration()}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleSpan.Duration(),
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
