package dotterload

import (
	"crypto/rand"
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/tool/dottergenerator"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterreport"
)

// Request kinds in the report.
const (
	kindDirect  = "Direct"
	kindThrough = "Through"
)

// compareCommand measures the latency that the path through a daemon adds.
type compareCommand struct {
	bounds
	Direct    []string `long:"direct" value-name:"IP:PORT" required:"true" description:"a backend server; may be given several times"`
	Through   []string `long:"through" value-name:"IP:PORT" required:"true" description:"callers' API of an entry host; may be given several times"`
	Template  string   `long:"template" value-name:"NAME" required:"true" description:"service template of the requests"`
	Path      string   `long:"path" value-name:"PATH" default:"/load" description:"path of the requests"`
	Rate      float64  `long:"rate" value-name:"N" default:"2000" description:"requests a second on each of the two paths"`
	BodyBytes int      `long:"body-bytes" value-name:"N" default:"64" description:"size of a request's body"`

	program *Program
}

// Execute runs both loads concurrently and reports the difference.
func (c *compareCommand) Execute([]string) error {
	err := c.check()
	if err != nil {
		return err
	}
	err = checkPath(c.Path)
	if err != nil {
		return err
	}
	caller := dottergenerator.NewCaller(rand.Text()[:8], dotterclock.Millis(c.Timeout), maxIdleConnections)
	defer caller.Close()
	recorder := dotterreport.NewRecorder()
	err = dottergenerator.New(c.generator(), recorder).Run(c.program.ctx,
		dottergenerator.Stream{Kind: kindDirect, PerSecond: c.Rate, Send: caller.Direct(c.Direct, c.Path, c.BodyBytes)},
		dottergenerator.Stream{Kind: kindThrough, PerSecond: c.Rate, Send: caller.Service(c.Through, c.Template, c.Path, c.BodyBytes, false)},
	)
	if err != nil {
		return err
	}
	report := recorder.Report().WithSettings(c)
	err = c.program.writeReport(report, c.Report)
	if err != nil {
		return err
	}
	c.printAddedLatency(report)
	return nil
}

// printAddedLatency prints the differences between the latency percentiles of both paths.
func (c *compareCommand) printAddedLatency(report dotterreport.Report) {
	direct, _ := report.Row(kindDirect, string(dotteroutcome.Done))
	through, _ := report.Row(kindThrough, string(dotteroutcome.Done))
	fmt.Fprintf(c.program.out, "Added by the path through the daemon: P50 %.2f ms, P90 %.2f ms, P99 %.2f ms\n",
		through.P50Millis-direct.P50Millis, through.P90Millis-direct.P90Millis, through.P99Millis-direct.P99Millis)
}
