package dotterplatform

import (
	"math/rand/v2"
	"os"

	"goji.io"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterendpoint"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandbackend"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandlist"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandstore"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandworker"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// Platform is a running stand-in platform.
type Platform struct {
	clock        dotterelusher.Clock
	recorder     *dottertruth.Recorder
	partitions   *dotterfault.Partitions
	interference *dotterstandworker.Interference
	store        *dotterstandstore.Server
	list         *dotterstandlist.List
	workers      []*dotterstandworker.Worker
	backends     []*dotterstandbackend.Server
	pool         *dotterstandworker.Pool
	endpoint     *dotterendpoint.Endpoint
}

// Open starts a platform. The caller must close it.
func Open(options Options) (*Platform, error) {
	clock := dotterclock.NewSystem()
	list := dotterstandlist.New(clock, options.ListLag)
	partitions := dotterfault.NewPartitions(func(client string) string {
		host, _ := list.Find(client)
		return host.FailureDomain
	})
	recorder := dottertruth.NewRecorder(clock)
	p := &Platform{
		clock:        clock,
		recorder:     recorder,
		partitions:   partitions,
		interference: dotterstandworker.NewInterference(),
		store:        dotterstandstore.New(clock, recorder, partitions, options.Seed),
		list:         list,
	}
	p.endpoint = dotterendpoint.New(options.Listen, p.routes(), nil)
	if err := p.open(options); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Ready returns the addresses of the platform and its hosts.
func (p *Platform) Ready() Ready {
	return Ready{Platform: p.endpoint.Address(), Pid: os.Getpid(), Hosts: p.hosts()}
}

// Close stops the platform and all its hosts.
func (p *Platform) Close() {
	p.endpoint.Close()
	if p.pool != nil {
		p.pool.Close()
	}
	for _, w := range p.workers {
		w.Close()
	}
	for _, b := range p.backends {
		b.Close()
	}
}

func (p *Platform) open(options Options) error {
	for i, domain := range options.FailureDomains {
		if err := p.addWorkers(options, domain, uint64(i)); err != nil {
			return err
		}
		if err := p.addBackends(options, domain, uint64(i)); err != nil {
			return err
		}
	}
	p.list.Seed(p.hosts())
	p.list.Seed(options.EntryHosts)
	p.pool = dotterstandworker.NewPool(p.workers)
	return p.endpoint.Open()
}

func (p *Platform) addWorkers(options Options, domain string, salt uint64) error {
	random := rand.New(rand.NewPCG(options.Seed, salt))
	usage := dotterstandworker.Options{UsageInterval: options.UsageInterval, UsageLag: options.UsageLag}
	for i := range options.Workers {
		largest := int64(options.MaxClockOffset)
		offset := dotterclock.Millis(random.Int64N(2*largest+1) - largest)
		w := dotterstandworker.New(options.worker(domain, i), p.clock, offset, usage, p.interference, p.recorder, p.partitions)
		p.workers = append(p.workers, w)
		if err := w.Open(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) addBackends(options Options, domain string, salt uint64) error {
	for _, text := range options.Services {
		service, err := dotterstandbackend.ParseService(text, options.Seed+salt)
		if err != nil {
			return err
		}
		for i := range options.Backends {
			b := dotterstandbackend.New(options.backend(domain, service.Name, i), service, p.recorder)
			p.backends = append(p.backends, b)
			if err := b.Open(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Platform) hosts() []dotterhost.Host {
	var hosts []dotterhost.Host
	for _, w := range p.workers {
		hosts = append(hosts, w.Host())
	}
	for _, b := range p.backends {
		hosts = append(hosts, b.Host())
	}
	return hosts
}

func (p *Platform) routes() *goji.Mux {
	mux := goji.NewMux()
	p.store.Register(mux)
	p.registerList(mux)
	p.registerControl(mux)
	p.registerTruth(mux)
	return mux
}
