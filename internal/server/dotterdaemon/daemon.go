package dotterdaemon

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterlog"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterclaims"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterintake"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterproxy"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterstore"
	"github.com/dotterelusher/dotterelusher/internal/server/dotterapi"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
	"github.com/dotterelusher/dotterelusher/internal/task/dottertasks"
)

const (
	announceInterval = dotterclock.Millis(500)  // between two updates of the state announced to peers
	leaveTimeout     = dotterclock.Millis(5000) // bounds leaving the membership record
	lingerDuration   = dotterclock.Millis(1000) // how long a drained host continues to refuse requests
)

// Daemon runs an entry host.
type Daemon struct {
	settings dottersettings.Settings
	clock    dotterelusher.Clock
	logger   *zap.Logger
	registry *prometheus.Registry
	store    dotterelusher.Store
	cluster  *cluster
	proxy    *dotterproxy.Proxy
	tasks    *dottertasks.Service
	intake   *dotterintake.Intake
	caller   *server
	operator *server
	leaving  atomic.Bool
	tomb     tomb.Tomb
}

// New builds a daemon and binds its addresses. It returns ErrStart if an HTTP address
// cannot be bound.
func New(settings dottersettings.Settings, logger *zap.Logger, decisions *dotterlog.Ring) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		clock:    dotterclock.NewSystem(),
		logger:   logger,
		registry: prometheus.NewRegistry(),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.store = dotterstore.New(settings.StoreAddress, settings.Host, storeLimits(settings.Limits), d.clock)
	if err := d.build(decisions); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build(decisions *dotterlog.Ring) error {
	var err error
	if d.cluster, err = newCluster(d.settings, d.store, d.clock, d.logger, d.registry); err != nil {
		return err
	}
	if d.proxy, err = d.newProxy(); err != nil {
		return err
	}
	d.tasks = d.newTasks()
	d.intake = dotterintake.New(d.settings.Intake(), d.logger)
	if err := d.registry.Register(d.intake); err != nil {
		return err
	}
	callers := dotterapi.NewCallerAPI(d.tasks, d.proxy, d.notReady, int64(d.settings.Limits.MaxBodyKB)<<10)
	if d.caller, err = listen(d.settings.CallerListen, d.intake.Door("Callers", 0), d.closeConnectionsWhenLeaving(callers.Handler())); err != nil {
		return err
	}
	d.operator, err = listen(d.settings.OperatorListen, d.intake.Door("Operators", maxOperators), d.operatorHandler(decisions))
	return err
}

func (d *Daemon) newProxy() (*dotterproxy.Proxy, error) {
	limits := dotterproxy.DefaultLimits()
	limits.BodyBytes = d.settings.Limits.MaxBodyKB << 10
	limits.QueueItems = d.settings.Limits.MaxQueue
	return dotterproxy.New(dotterproxy.Options{
		FailureDomain: d.settings.FailureDomain,
		Configuration: d.cluster.tracker,
		Directory:     d.cluster.directory,
		Permits:       d.cluster.ledger,
		Peers:         d.cluster.mesh,
		Claims:        dotterclaims.New(d.settings.Host, d.store, d.clock),
		Clock:         d.clock,
		Limits:        limits,
		Connections:   dotterconnection.Settings{ProbePath: d.settings.BackendHealthPath},
		Registerer:    d.registry,
		Log:           d.logger,
	})
}

func (d *Daemon) operatorHandler(decisions *dotterlog.Ring) http.Handler {
	return dotterapi.NewOperatorAPI(dotterapi.OperatorOptions{
		Configuration: d.cluster.tracker,
		Edit:          d.edit,
		Status:        d.status,
		Usage:         d.tasks.Usage,
		Decisions:     decisions,
		Metrics:       promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}),
	}).Handler()
}

// Run serves until ctx ends or a server fails, and then shuts down gracefully. It
// returns the errors of all components, among them ErrShutdown if a server did not stop
// in time.
func (d *Daemon) Run(ctx context.Context) error {
	d.cluster.start()
	d.tasks.Start()
	d.tomb.Go(d.caller.serve)
	d.tomb.Go(d.operator.serve)
	d.tomb.Go(d.announce)
	d.logger.Info("Serving", zap.String("CallerListen", d.settings.CallerListen), zap.String("OperatorListen", d.settings.OperatorListen))
	select {
	case <-ctx.Done():
	case <-d.tomb.Dying():
	}
	return d.shutdown()
}

// announce periodically sends peers the number of free slots and the shards owned by
// this host.
func (d *Daemon) announce() error {
	for {
		free := d.proxy.FreeSlots()
		shards := d.tasks.Owned()
		d.cluster.mesh.Announce(func(s dotterpeer.State) dotterpeer.State {
			return s.WithFreeSlots(free).WithShards(shards)
		})
		select {
		case <-d.tomb.Dying():
			return nil
		case <-d.clock.After(announceInterval):
		}
	}
}

// shutdown stops all components. It waits for requests in progress for up to DrainMillis.
func (d *Daemon) shutdown() error {
	d.logger.Info("Shutting down")
	d.leaving.Store(true)
	d.cluster.mesh.Announce(func(s dotterpeer.State) dotterpeer.State { return s.WithLeaving() })
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timing.DrainMillis.Duration())
	defer cancel()
	d.intake.Interrupt()
	d.tasks.Stop()
	drained := d.proxy.Drain(ctx)
	d.linger(ctx)
	errs := []error{
		drained,
		d.caller.shutdown(ctx),
		d.proxy.Close(),
		d.leave(ctx),
		d.operator.shutdown(ctx),
	}
	d.tomb.Kill(nil)
	errs = append(errs, d.tomb.Wait(), d.cluster.stop())
	err := errors.Join(errs...)
	d.logger.Info("Stopped", zap.Error(err))
	return err
}

// closeConnectionsWhenLeaving wraps handler so that responses close their connections
// once this host is leaving.
func (d *Daemon) closeConnectionsWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// linger keeps the server open for lingerDuration, so that callers that still send
// requests on open connections are refused and told to close them. Closing at once would
// abort a request in transit on a connection that looks idle on this side.
func (d *Daemon) linger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(lingerDuration):
	}
}

// leave returns this host's shares of the backend servers. It gives up after leaveTimeout
// if the store is unavailable. The shares then stay unused until the process is proved gone.
func (d *Daemon) leave(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	return d.cluster.membership.Leave(bounded)
}

// storeLimits returns the rate limits of this process's store calls.
func storeLimits(l dottersettings.Limits) dotterstore.Limits {
	limits := dotterstore.DefaultLimits()
	limits.ReadsPerSecond = float64(l.StoreReadsPerSecond)
	limits.WritesPerSecond = float64(l.StoreWritesPerSecond)
	return limits
}
