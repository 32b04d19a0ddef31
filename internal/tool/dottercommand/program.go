package dottercommand

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterclient"
)

// Program is the command line with its global options.
type Program struct {
	Operator string `long:"operator" env:"DOTTERELUSHER_OPERATOR" value-name:"IP:PORT" default:"127.0.0.1:8082" description:"operators' API of an entry host"`
	Caller   string `long:"caller" env:"DOTTERELUSHER_CALLER" value-name:"IP:PORT" default:"127.0.0.1:8080" description:"callers' API of an entry host, or the balancer"`
	Output   string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result on the standard output"`
	Timeout  int64  `long:"timeout" value-name:"MS" default:"10000" description:"most that one call takes, in milliseconds"`

	ctx         context.Context
	out         io.Writer
	errors      io.Writer
	interactive bool // a person reads the standard error
	clock       *dotterclock.System
}

// NewProgram returns the command line that writes to out and errors; progress
// is shown only when interactive.
func NewProgram(ctx context.Context, out, errors io.Writer, interactive bool) *Program {
	return &Program{ctx: ctx, out: out, errors: errors, interactive: interactive, clock: dotterclock.NewSystem()}
}

// Run carries out the command that arguments name and returns the exit code.
func (p *Program) Run(arguments []string) int {
	parser := flags.NewNamedParser("dotterelusher", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates dotterelusher and submits tasks. Exit codes: 0 done, 1 refused or not done, " +
		"2 faulty command line or file, 3 daemon not reached, 4 timed out."
	if err := p.addCommands(parser); err != nil {
		fmt.Fprintln(p.errors, err)
		return ExitUsage
	}
	_, err := parser.ParseArgs(arguments)
	p.report(err)
	return exitCode(err)
}

func (p *Program) report(err error) {
	if err == nil {
		return
	}
	if exitCode(err) == ExitDone {
		fmt.Fprintln(p.out, err)
		return
	}
	fmt.Fprintln(p.errors, err)
}

func (p *Program) addCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Global options", "", p); err != nil {
		return err
	}
	top := []entry{
		{"status", "show what an entry host knows", "Shows configuration revisions, backend servers and shards.", &statusCommand{program: p}},
		{"decisions", "show the newest routing and placement decisions", "Shows decisions that this entry host made.", &decisionsCommand{program: p}},
		{"explain", "show what happened to a job", "Orders the lines of several hosts' logs that bear on the job.", &explainCommand{program: p}},
		{"usage", "show use per partner against the split", "Shows charges by partner, team and split revision.", &usageCommand{program: p}},
	}
	for _, e := range top {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			return err
		}
	}
	for _, g := range p.groups() {
		if err := g.addTo(parser); err != nil {
			return err
		}
	}
	return nil
}

func (p *Program) groups() []group {
	return []group{
		{"configuration", "the whole configuration", []entry{
			{"show", "print the configuration in force", "Prints the document as JSON.", &configurationShowCommand{program: p}},
			{"import", "make the configuration equal to a file", "Sends the difference as one change.", &configurationImportCommand{editing: editing{program: p}}},
		}},
		{"template", "templates of teams' work", []entry{
			{"list", "list the templates", "Lists name, team, kind and rank.", &templateListCommand{program: p}},
			{"show", "print a template", "Prints the template as JSON.", &templateShowCommand{program: p}},
			{"set", "create or replace a template from a file", "The file is JSON with comments.", &templateSetCommand{editing: editing{program: p}}},
			{"remove", "remove a template", "Work already accepted goes on.", &templateRemoveCommand{editing: editing{program: p}}},
		}},
		{"parameter", "parameters of templates", []entry{
			{"set", "change fields of a template", "As in: parameter set refresh TargetMillis=200 Hedge=true", &parameterSetCommand{editing: editing{program: p}}},
		}},
		{"partner", "partners and their split", []entry{
			{"split", "agree a new split", "As in: partner split north=60 south=40; the shares sum to 100.", &partnerSplitCommand{editing: editing{program: p}}},
		}},
		{"domain", "failure domains", []entry{
			{"out", "take a failure domain out of service", "No work starts there once the change is in force.", &domainCommand{editing: editing{program: p}, out: true}},
			{"in", "bring a failure domain back", "Work returns gradually.", &domainCommand{editing: editing{program: p}}},
		}},
		{"host", "workers and backend servers", []entry{
			{"drain", "give a host no new work", "Running work that can move does.", &hostCommand{editing: editing{program: p}, drain: true}},
			{"undrain", "give a host work again", "Ends an earlier drain.", &hostCommand{editing: editing{program: p}}},
		}},
		{"task", "tasks", []entry{
			{"submit", "submit tasks of a template", "Prints the ids of the tasks accepted.", &taskSubmitCommand{program: p}},
			{"status", "show a task", "Shows state, attempt, worker and reason.", &taskStatusCommand{program: p}},
			{"wait", "wait for tasks to end", "Exit code 0 only if all ended as Done.", &taskWaitCommand{program: p}},
			{"cancel", "cancel tasks", "Queued ones end at once, running ones are stopped.", &taskCancelCommand{program: p}},
		}},
		{"check", "check files without a daemon", []entry{
			{"settings", "check settings files", "Names every fault by file, line, field and range.", &checkSettingsCommand{program: p}},
			{"configuration", "check configuration files", "Names every fault by file, line, field and range.", &checkConfigurationCommand{program: p}},
		}},
	}
}

func (p *Program) operator() *dotterclient.Client {
	return dotterclient.New(p.Operator, dotterclock.Millis(p.Timeout))
}

func (p *Program) caller() *dotterclient.Client {
	return dotterclient.New(p.Caller, dotterclock.Millis(p.Timeout))
}

func (p *Program) progress(format string, values ...any) {
	if p.interactive {
		fmt.Fprintf(p.errors, "\r\x1b[K"+format, values...)
	}
}

func (p *Program) endProgress() {
	if p.interactive {
		fmt.Fprintln(p.errors)
	}
}
