package dotterload

import (
	"crypto/rand"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dottergenerator"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterreport"
)

// maxIdleConnections limits the idle connections that a load generator keeps open.
const maxIdleConnections = 1024

// runCommand sends requests and tasks.
type runCommand struct {
	bounds
	Targets      []string `long:"target" value-name:"IP:PORT" required:"true" description:"callers' API of an entry host; may be given several times"`
	Template     string   `long:"template" value-name:"NAME" description:"service template of the requests"`
	Path         string   `long:"path" value-name:"PATH" default:"/load" description:"path of the requests after the template"`
	Rate         float64  `long:"rate" value-name:"N" default:"100" description:"requests a second, 0 to 100000"`
	BodyBytes    int      `long:"body-bytes" value-name:"N" default:"64" description:"size of a request's body"`
	Keyed        bool     `long:"keyed" description:"give each request an idempotency key"`
	TaskTemplate string   `long:"task-template" value-name:"NAME" description:"template of the tasks"`
	TaskRate     float64  `long:"task-rate" value-name:"N" default:"10" description:"task submissions a second, 0 to 100000"`

	program *Program
}

// Execute runs the load.
func (r *runCommand) Execute([]string) error {
	err := r.check()
	if err != nil {
		return err
	}
	err = checkPath(r.Path)
	if err != nil {
		return err
	}
	caller := dottergenerator.NewCaller(rand.Text()[:8], dotterclock.Millis(r.Timeout), maxIdleConnections)
	defer caller.Close()
	recorder := dotterreport.NewRecorder()
	err = dottergenerator.New(r.generator(), recorder).Run(r.program.ctx, r.streams(caller)...)
	if err != nil {
		return err
	}
	return r.program.writeReport(recorder.Report().WithSettings(r), r.Report)
}

func (r *runCommand) streams(caller *dottergenerator.Caller) []dottergenerator.Stream {
	var streams []dottergenerator.Stream
	if r.Template != "" {
		streams = append(streams, dottergenerator.Stream{
			Kind:      "Service",
			PerSecond: r.Rate,
			Send:      caller.Service(r.Targets, r.Template, r.Path, r.BodyBytes, r.Keyed),
		})
	}
	if r.TaskTemplate != "" {
		streams = append(streams, dottergenerator.Stream{
			Kind:      "Task",
			PerSecond: r.TaskRate,
			Send:      caller.Tasks(r.Targets, r.TaskTemplate),
		})
	}
	return streams
}

// writeReport prints the report as a table and saves it to path if that is not empty.
func (p *Program) writeReport(report dotterreport.Report, path string) error {
	err := report.WriteTable(p.out)
	if err != nil || path == "" {
		return err
	}
	return report.Save(path)
}
