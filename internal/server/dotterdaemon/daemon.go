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
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterproxy"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterstore"
	"github.com/dotterelusher/dotterelusher/internal/server/dotterapi"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
	"github.com/dotterelusher/dotterelusher/internal/task/dottertasks"
)

const (
	announceInterval = dotterclock.Millis(500)  // between two looks at what peers are told
	leaveTimeout     = dotterclock.Millis(5000) // most that leaving the record takes
	lingerDuration   = dotterclock.Millis(1000) // for which a leaving host still answers refusals
)

// Daemon is one entry host's process.
type Daemon struct {
	settings dottersettings.Settings
	clock    dotterelusher.Clock
	logger   *zap.Logger
	registry *prometheus.Registry
	store    dotterelusher.Store
	cluster  *cluster
	proxy    *dotterproxy.Proxy
	tasks    *dottertasks.Service
	caller   *server
	operator *server
	leaving  atomic.Bool
	tomb     tomb.Tomb
}

// New builds a daemon and binds its addresses, or returns ErrStart.
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
	callers := dotterapi.NewCallerAPI(d.tasks, d.proxy, d.notReady, int64(d.settings.Limits.MaxBodyKB)<<10)
	if d.caller, err = listen(d.settings.CallerListen, d.closeConnectionsWhenLeaving(callers.Handler())); err != nil {
		return err
	}
	d.operator, err = listen(d.settings.OperatorListen, d.operatorHandler(decisions))
	return err
}

func (d *Daemon) newProxy() (*dotterproxy.Proxy, error) {
	limits := dotterproxy.DefaultLimits()
	limits.BodyBytes = d.settings.Limits.MaxBodyKB << 10
	limits.QueueItems = d.settings.Limits.MaxQueue
	return dotterproxy.New(dotterproxy.Options{
		FailureDomain: d.settings.FailureDomain,
		Configuration: d.cluster.holder,
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
		Configuration: d.cluster.holder,
		Edit:          d.edit,
		Status:        d.status,
		Usage:         d.tasks.Usage,
		Decisions:     decisions,
		Metrics:       promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}),
	}).Handler()
}

// Run serves until stop ends and then shuts down gracefully; it returns
// ErrShutdown if that could not be finished.
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

// announce tells peers how many slots are free and which shards are owned here.
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

// shutdown ends this process without cutting off a request.
func (d *Daemon) shutdown() error {
	d.logger.Info("Shutting down")
	d.leaving.Store(true)
	d.cluster.mesh.Announce(func(s dotterpeer.State) dotterpeer.State { return s.WithLeaving() })
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timing.DrainMillis.Duration())
	defer cancel()
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

// closeConnectionsWhenLeaving returns handler with answers that close their connections
// once this host leaves.
func (d *Daemon) closeConnectionsWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// linger goes on answering for a while, so that every caller that still sends
// on an open connection is refused and told to close it. Closing at once would
// cut off a request that is on its way on a connection that looks idle here.
func (d *Daemon) linger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(lingerDuration):
	}
}

// leave gives this host's shares back; a store that is away does not hold the
// process, whose shares then stay unused until it is proved gone.
func (d *Daemon) leave(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	return d.cluster.keeper.Leave(bounded)
}

// storeLimits returns the limits of this process's calls to the store.
func storeLimits(l dottersettings.Limits) dotterstore.Limits {
	limits := dotterstore.DefaultLimits()
	limits.ReadsPerSecond = float64(l.StoreReadsPerSecond)
	limits.WritesPerSecond = float64(l.StoreWritesPerSecond)
	return limits
}
