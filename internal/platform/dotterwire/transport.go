package dotterwire

import (
	"net"
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Timeouts and limits of a client's connections to the platform.
const (
	dialTimeout        = 1 * dotterclock.Second
	idleTimeout        = 30 * dotterclock.Second
	keepAliveInterval  = 5 * dotterclock.Second
	maxIdleConnections = 16
)

// NewClient returns an HTTP client for the platform that uses no proxy and follows no redirects.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: keepAliveInterval.Duration()}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout.Duration(),
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
