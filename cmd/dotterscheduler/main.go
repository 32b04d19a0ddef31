// Command dotterscheduler is the scheduler's daemon on the users' platform. Every
// entry host runs it.
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
	exitFailed = 1 // the daemon could not start, or not finish its shutdown
	exitUsage  = 2 // the command line or the settings are faulty
)

const (
	// memoryPart is the part of the host's memory that the Go runtime may use before
	// it collects garbage all the time; the rest is for what it does not count.
	memoryPart = 0.6
	// garbagePercent trades memory for processor time, which costs more.
	garbagePercent = 200
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file; the default is named by the variable DOTTERELUSHER_BOOT"`
	Check    bool   `long:"check" description:"check the settings and end"`
	Metrics  int    `long:"metrics" value-name:"PORT" default:"9464" description:"port of the metrics"`
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
	if o.Check {
		return
	}
	debug.SetGCPercent(garbagePercent)
	if settings.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(settings.Limits.MemoryMb * memoryPart * (1 << 20)))
	}
	logger, flush := dotterlog.NewBounded("info", settings.Node, os.Stdout)
	err = platform.Run(settings, o.Settings, o.Metrics, logger)
	flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
