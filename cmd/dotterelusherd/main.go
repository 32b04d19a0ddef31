// Command dotterelusherd is the daemon of an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterlog"
	"github.com/dotterelusher/dotterelusher/internal/server/dotterdaemon"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
)

// Limits of the Go runtime: collecting garbage less often shortens the tail of
// request latencies, and the memory limit keeps the process small all the same.
const (
	garbagePercent = 400
	memoryLimit    = 56 << 20 // bytes
)

// Exit codes.
const (
	exitFailed = 1 // the daemon could not start, or not finish its shutdown
	exitUsage  = 2 // the command line or the settings are faulty
	exitForced = 3 // a second signal ended the shutdown
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of this entry host, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and end"`
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
	settings, err := dottersettings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if o.Check {
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(settings dottersettings.Settings) error {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(memoryLimit)
	logger, decisions, flush := dotterlog.New(settings.Log.Level, settings.Host)
	defer flush()
	daemon, err := dotterdaemon.New(settings, logger, decisions)
	if err != nil {
		return err
	}
	return daemon.Run(untilSignal(flush))
}

// untilSignal returns a context that ends at the first SIGTERM or SIGINT; the
// second one ends the process at once.
func untilSignal(flush func()) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		flush()
		os.Exit(exitForced)
	}()
	return ctx
}
