// Command dotterscheduler is the daemon that schedules jobs on the users' platform. It
// runs on every entry host.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterlog"
	"github.com/dotterelusher/dotterelusher/platform"
)

// Exit codes.
const (
	exitFailed = 1 // the daemon failed to start or to shut down
	exitUsage  = 2 // invalid command line or settings
)

const (
	// memoryFraction is the Go runtime's memory limit as a fraction of the host's memory.
	// Above the limit, the runtime collects garbage continuously. The rest is for memory
	// that the runtime does not count.
	memoryFraction = 0.6
	// gcPercent is above the default, because processor time costs more than memory.
	gcPercent = 200
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file; the default is named by the variable DOTTERELUSHER_BOOT"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Metrics  int    `long:"metrics" value-name:"PORT" default:"9464" description:"port of the metrics"`

	Admission  bool `long:"admission" description:"refuse jobs that cannot end usefully because of what waits"`
	LookAhead  bool `long:"look-ahead" description:"reserve room for large tasks that small ones would keep waiting"`
	WeighStops bool `long:"weigh-stops" description:"slow filling tasks down rather than stopping them, where a stop costs 1.2 s or more"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	settings = settings.WithFeatures(platform.Features{Admission: o.Admission, LookAhead: o.LookAhead, WeighStops: o.WeighStops})
	if o.Check {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.Memory()) * memoryFraction))
	logger, flush := dotterlog.NewBounded("info", settings.Node, os.Stdout)
	err = platform.Run(settings, o.Settings, o.Metrics, logger)
	flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
