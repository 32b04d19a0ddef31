package dotterharness

import (
	"fmt"
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
)

// listLag is the delay of the stand-in's host list. The daemons are configured
// with twice this value.
const listLag dotterclock.Millis = 400

// Options describes the members and the settings of a cluster.
type Options struct {
	FailureDomains []string
	EntryHosts     int      // in each failure domain
	Workers        int      // in each failure domain
	Backends       int      // of each service in each failure domain
	Services       []string // in the format of the --service flag of cmd/standin
	Configuration  dotterconfig.Document
	StandIn        []string                       // additional flags of the stand-in
	Direct         bool                           // no relays between entry hosts, so no links can be silenced
	Adjust         func(*dottersettings.Settings) // modifies the settings of every daemon
	Descriptors    int                            // limit of every daemon; 0: that of the test process
}

// DefaultOptions returns the options of a cluster with two entry hosts in each
// of three failure domains.
func DefaultOptions() Options {
	return Options{
		FailureDomains: []string{"a", "b", "c"},
		EntryHosts:     2,
		Workers:        4,
		Backends:       2,
		Services:       []string{"refresh=exponential:5", "clearance=exponential:5"},
		Configuration:  Configuration("a", "b", "c"),
	}
}

func (o Options) standInArguments() []string {
	arguments := []string{
		"--workers", strconv.Itoa(o.Workers),
		"--backends", strconv.Itoa(o.Backends),
		"--list-lag", fmt.Sprint(listLag),
		"--usage-lag", "500",
		"--usage-every", "200",
		"--run-for", "900",
	}
	for _, d := range o.FailureDomains {
		arguments = append(arguments, "--domain", d)
	}
	for _, s := range o.Services {
		arguments = append(arguments, "--service", s)
	}
	return append(arguments, o.StandIn...)
}

func (o Options) settings(domain, name, platform string) dottersettings.Settings {
	s := dottersettings.Default()
	s.Host = name
	s.FailureDomain = domain
	s.Region = "r1"
	s.StoreAddress = platform
	s.HostListAddress = platform
	s.SeedPeers = []string{}
	s.Timing.StoreLeaseMillis = 2000
	s.Timing.HostListLagMillis = 2 * listLag
	s.Timing.WorkerLeaseMillis = 3000
	s.Timing.DrainMillis = 10_000
	if o.Adjust != nil {
		o.Adjust(&s)
	}
	return s
}
