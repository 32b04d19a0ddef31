package dotterplatform

import (
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// rackSize is the number of workers in a rack.
const rackSize = 8

// Options configures a stand-in platform.
type Options struct {
	FailureDomains []string
	EntryHosts     []dotterhost.Host // entry hosts in the initial host list
	Workers        int               // per failure domain
	WorkerCapacity dotterroom.Room
	Services       []string // in the format of dotterstandbackend.ParseService
	Backends       int      // per service and failure domain
	Slots          int
	Connections    int
	ListLag        dotterclock.Millis
	UsageInterval  dotterclock.Millis
	UsageLag       dotterclock.Millis
	MaxClockOffset dotterclock.Millis // maximum offset of a worker's clock in either direction
	Listen         string             // IP:port of the platform; port 0 picks a free port
	Seed           uint64
}

func (o Options) worker(domain string, index int) dotterhost.Host {
	return dotterhost.Host{
		Name:          fmt.Sprintf("%s-w%02d", domain, index+1),
		Address:       "127.0.0.1:0",
		FailureDomain: domain,
		Rack:          fmt.Sprintf("%s-r%d", domain, index/rackSize+1),
		Role:          dotterhost.RoleWorker,
		State:         dotterhost.StateLive,
		Incarnation:   1,
		Capacity:      o.WorkerCapacity,
	}
}

func (o Options) backend(domain, service string, index int) dotterhost.Host {
	return dotterhost.Host{
		Name:          fmt.Sprintf("%s-%s-%d", domain, service, index+1),
		Address:       "127.0.0.1:0",
		FailureDomain: domain,
		Rack:          fmt.Sprintf("%s-s%d", domain, index/rackSize+1),
		Role:          dotterhost.RoleBackend,
		State:         dotterhost.StateLive,
		Incarnation:   1,
		Service:       service,
		Slots:         o.Slots,
		Connections:   o.Connections,
	}
}
