package dotterelusher

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// ErrHostListUnavailable means that the platform's host list gave no answer.
var ErrHostListUnavailable = eris.New("host list: unavailable")

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns every row of the list, or ErrHostListUnavailable.
	Hosts(ctx context.Context) ([]dotterhost.Host, error)
}
