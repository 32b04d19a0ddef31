package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// ErrHostListUnavailable means that the platform's host list could not be read.
var ErrHostListUnavailable = eris.New("host list: unavailable")

// HostList reads the platform's list of live and leaving hosts, which lags behind
// their actual state.
type HostList interface {
	// Hosts returns all hosts on the list, or ErrHostListUnavailable.
	Hosts(ctx context.Context) ([]dotterhost.Host, error)
}
