package dotterdaemon

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterplacer"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
	"github.com/dotterelusher/dotterelusher/internal/task/dottertasks"
)

// newTasks returns the task service. Its methods are registered with the mesh. The
// placers of all shards share one set of models.
func (d *Daemon) newTasks() *dottertasks.Service {
	models := dotterplacer.NewModels()
	limits := dotterowner.DefaultLimits()
	limits.LeaseDuration = d.settings.Timing.WorkerLeaseMillis
	limits.ListLag = d.settings.Timing.HostListLagMillis
	limits.MaxQueued = d.settings.Limits.MaxQueuedTasks
	timing := dottertasks.DefaultTiming()
	timing.StoreLeaseDuration = d.settings.Timing.StoreLeaseMillis
	return dottertasks.New(dottertasks.Options{
		Host:          d.settings.Host,
		FailureDomain: d.settings.FailureDomain,
		Incarnation:   d.cluster.mesh.Identity().Incarnation,
		Store:         d.store,
		Peers:         d.cluster.mesh,
		Configuration: d.cluster.tracker,
		Directory:     d.cluster.directory,
		Workers:       dotterworker.New(d.settings.Host, dotterworker.DefaultTimeout),
		Clock:         d.clock,
		NewPlacer: func() dotterelusher.Placer {
			return dotterplacer.New(dotterplacer.Options{Models: models})
		},
		Logger:     d.logger,
		Registerer: d.registry,
		Limits:     limits,
		Timing:     timing,
	})
}
