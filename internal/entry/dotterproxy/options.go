package dotterproxy

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
)

// Options is what a Proxy works with.
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

	// Backend sends requests to backend servers; nil stands for connections of the Proxy's own.
	Backend dotterelusher.BackendClient
	// NewRouter returns the router of a template; nil stands for power of two choices.
	NewRouter func(template string) dotterelusher.Router
}
