// Command standin runs a simulated platform for tests on loopback, in one process: store,
// host list, workers and backend servers. When it is ready, it prints one line of JSON with all
// addresses. It exits on SIGTERM or SIGINT, or after --run-for.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterplatform"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

type options struct {
	Domains      []string `long:"domain" value-name:"NAME" description:"failure domain; may be given several times (default: a, b, c)"`
	Workers      int      `long:"workers" default:"8" description:"workers in each failure domain, 8 to a rack"`
	MilliCores   int64    `long:"worker-millicores" default:"64000" description:"processors of a worker, in thousandths of a core"`
	MemoryMB     int64    `long:"worker-memory" default:"250000" description:"memory of a worker, in MB"`
	Accelerators int64    `long:"worker-accelerators" default:"1" description:"accelerators of a worker"`
	Services     []string `long:"service" value-name:"NAME=KIND:MS" description:"service and its request duration, KIND fixed or exponential; may be given several times (default: echo=exponential:5)"`
	Backends     int      `long:"backends" default:"4" description:"backend servers of each service in each failure domain"`
	Slots        int      `long:"slots" default:"8" description:"concurrent requests that a backend server accepts"`
	Connections  int      `long:"connections" default:"64" description:"concurrent connections that a backend server accepts"`
	ListLag      int64    `long:"list-lag" default:"1000" value-name:"MS" description:"lag of the host list, in ms"`
	UsageEvery   int64    `long:"usage-every" default:"500" value-name:"MS" description:"time between two samples of an attempt, in ms"`
	UsageLag     int64    `long:"usage-lag" default:"2000" value-name:"MS" description:"lag of usage reports, in ms"`
	ClockOffset  int64    `long:"clock-offset" default:"5000" value-name:"MS" description:"largest error of a worker's own clock, in ms"`
	Listen       string   `long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address of store, host list, control and truth"`
	Seed         uint64   `long:"seed" default:"1" description:"seed of service times, clock errors and random faults"`
	Entries      []string `long:"entry" value-name:"NAME=DOMAIN@IP:PORT" description:"entry host that is in the host list from the start; may be given several times"`
	Truth        string   `long:"truth" value-name:"IP:PORT" description:"print what the stand-in at this address recorded, and exit"`
	RunFor       int64    `long:"run-for" default:"3600" value-name:"S" description:"exit after this time, in seconds"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run() error {
	var o options
	_, err := flags.Parse(&o)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		return nil
	}
	if err != nil {
		os.Exit(2) // go-flags has printed the error
	}
	if o.Truth != "" {
		return showTruth(o.Truth)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	entries, err := o.entries()
	if err != nil {
		return err
	}
	platform, err := dotterplatform.Open(o.platform(entries))
	if err != nil {
		return err
	}
	defer platform.Close()
	if err := json.NewEncoder(os.Stdout).Encode(platform.Ready()); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-time.After(time.Duration(o.RunFor) * time.Second):
	}
	return nil
}

// platform returns the options of the simulated platform, with defaults.
func (o options) platform(entries []dotterhost.Host) dotterplatform.Options {
	if len(o.Domains) == 0 {
		o.Domains = []string{"a", "b", "c"}
	}
	if len(o.Services) == 0 {
		o.Services = []string{"echo=exponential:5"}
	}
	return dotterplatform.Options{
		FailureDomains: o.Domains,
		EntryHosts:     entries,
		Workers:        o.Workers,
		WorkerCapacity: dotterroom.Room{MilliCores: o.MilliCores, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators},
		Services:       o.Services,
		Backends:       o.Backends,
		Slots:          o.Slots,
		Connections:    o.Connections,
		ListLag:        dotterclock.Millis(o.ListLag),
		UsageInterval:  dotterclock.Millis(o.UsageEvery),
		UsageLag:       dotterclock.Millis(o.UsageLag),
		MaxClockOffset: dotterclock.Millis(o.ClockOffset),
		Listen:         o.Listen,
		Seed:           o.Seed,
	}
}

// entries parses the --entry flags.
func (o options) entries() ([]dotterhost.Host, error) {
	var hosts []dotterhost.Host
	for _, text := range o.Entries {
		name, rest, hasName := strings.Cut(text, "=")
		domain, address, hasDomain := strings.Cut(rest, "@")
		if !hasName || !hasDomain {
			return nil, fmt.Errorf("--entry %q is not NAME=DOMAIN@IP:PORT", text)
		}
		hosts = append(hosts, dotterhost.Host{
			Name:          name,
			Address:       address,
			FailureDomain: domain,
			Role:          dotterhost.RoleEntry,
			State:         dotterhost.StateLive,
			Incarnation:   1,
		})
	}
	return hosts, nil
}

// showTruth prints a summary of what the stand-in at address recorded.
func showTruth(address string) error {
	var truth dottertruth.Truth
	url := "http://" + address + dottertruth.PathTruth
	if err := dotterwire.Fetch(context.Background(), dotterwire.NewClient(), url, "standin", &truth); err != nil {
		return err
	}
	return truth.WriteSummary(os.Stdout)
}
