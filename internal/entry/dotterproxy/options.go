package dotterproxy

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
)

// Options holds the dependencies and limits of a Proxy.
type Options struct {
	FailureDomain string
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Permits       dotterelusher.Permits
	Peers         dotterelusher.Peers
	Claims        dotterelusher.Claims
	Clock         dotterelusher.Clock
	Limits        Limits
	Connections   dotterconnection.Settings
	Registerer    prometheus.Registerer
	Log           *zap.Logger

	// Backend sends requests to backend servers. If nil, the Proxy uses a client of its own.
	Backend dotterelusher.BackendClient
	// NewRouter returns the router of a template. If nil, PowerOfTwo is used.
	NewRouter func(template string) dotterelusher.Router
}
