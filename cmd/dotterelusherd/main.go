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

// gcPercent is above the default, because less frequent garbage collection lowers the tail latency
// of requests. The memory limit bounds the heap growth that this allows.
const gcPercent = 400

// Exit codes.
const (
	exitFailed = 1 // the daemon failed to start or to shut down
	exitUsage  = 2 // invalid command line or settings
	exitForced = 3 // a second signal aborted the shutdown
)

type options struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of this entry host, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.Limits.RuntimeMemory())
	logger, decisions, flush := dotterlog.New(settings.Log.Level, settings.Host)
	defer flush()
	daemon, err := dotterdaemon.New(settings, logger, decisions)
	if err != nil {
		return err
	}
	return daemon.Run(signalContext(flush))
}

// signalContext returns a context that is cancelled by the first SIGTERM or SIGINT. The
// second signal exits the process at once.
func signalContext(flush func()) context.Context {
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
