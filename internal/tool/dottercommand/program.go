package dottercommand

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterclient"
)

// Program is the command-line program with its global options.
type Program struct {
	Operator string `long:"operator" env:"DOTTERELUSHER_OPERATOR" value-name:"IP:PORT" default:"127.0.0.1:8082" description:"operators' API of an entry host"`
	Caller   string `long:"caller" env:"DOTTERELUSHER_CALLER" value-name:"IP:PORT" default:"127.0.0.1:8080" description:"callers' API of an entry host, or the balancer"`
	Output   string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result on the standard output"`
	Timeout  int64  `long:"timeout" value-name:"MS" default:"10000" description:"timeout of one call, in milliseconds"`

	ctx         context.Context
	out         io.Writer
	errors      io.Writer
	interactive bool // the standard error is a terminal
	clock       *dotterclock.System
}

// NewProgram returns a program that writes to out and errors; it shows progress
// only if interactive.
func NewProgram(ctx context.Context, out, errors io.Writer, interactive bool) *Program {
	return &Program{ctx: ctx, out: out, errors: errors, interactive: interactive, clock: dotterclock.NewSystem()}
}

// Run executes the command in arguments and returns the exit code.
func (p *Program) Run(arguments []string) int {
	parser := flags.NewNamedParser("dotterelusher", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operates dotterelusher and submits tasks. Exit codes: 0 done, 1 refused or not done, " +
		"2 faulty command line or file, 3 daemon not reached, 4 timed out."
	if err := p.addCommands(parser); err != nil {
		fmt.Fprintln(p.errors, err)
		return ExitUsage
	}
	_, err := parser.ParseArgs(arguments)
	p.printError(err)
	return exitCode(err)
}

// printError prints err to the standard error, or to the standard output if it is
// the help text.
func (p *Program) printError(err error) {
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
	topLevel := []subcommand{
		{"status", "show the status that an entry host knows", "Shows configuration revisions, backend servers and shards.", &statusCommand{program: p}},
		{"decisions", "show the newest routing and placement decisions", "Shows decisions that this entry host made.", &decisionsCommand{program: p}},
		{"explain", "show what happened to a job", "Merges the lines of several hosts' logs that concern the job, ordered by time.", &explainCommand{program: p}},
		{"tenants", "show what the tenants of jobs have running and waiting", "Sums up all shards as their owners answer; needs the metrics' address of a host that runs dotterscheduler.", &tenantsCommand{program: p}},
		{"usage", "show usage per partner and its agreed share", "Shows charges by partner, team and split revision.", &usageCommand{program: p}},
	}
	for _, e := range topLevel {
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

func (p *Program) groups() []commandGroup {
	return []commandGroup{
		{"configuration", "the whole configuration", []subcommand{
			{"show", "print the configuration in force", "Prints the document as JSON.", &configurationShowCommand{program: p}},
			{"import", "make the configuration equal to a file", "Sends the difference as one change.", &configurationImportCommand{editCommand: editCommand{program: p}}},
		}},
		{"template", "templates of teams' work", []subcommand{
			{"list", "list the templates", "Lists name, team, kind and rank.", &templateListCommand{program: p}},
			{"show", "print a template", "Prints the template as JSON.", &templateShowCommand{program: p}},
			{"set", "create or replace a template from a file", "The file is JSON with comments.", &templateSetCommand{editCommand: editCommand{program: p}}},
			{"remove", "remove a template", "Work already accepted goes on.", &templateRemoveCommand{editCommand: editCommand{program: p}}},
		}},
		{"parameter", "parameters of templates", []subcommand{
			{"set", "change fields of a template", "Example: parameter set refresh TargetMillis=200 Hedge=true", &parameterSetCommand{editCommand: editCommand{program: p}}},
		}},
		{"partner", "partners and their split", []subcommand{
			{"split", "set a new split", "Example: partner split north=60 south=40; the shares sum to 100.", &partnerSplitCommand{editCommand: editCommand{program: p}}},
		}},
		{"domain", "failure domains", []subcommand{
			{"out", "take a failure domain out of service", "No work starts there once the change is in force.", &domainCommand{editCommand: editCommand{program: p}, out: true}},
			{"in", "bring a failure domain back", "Work returns gradually.", &domainCommand{editCommand: editCommand{program: p}}},
		}},
		{"host", "workers and backend servers", []subcommand{
			{"drain", "give a host no new work", "Running work that can be moved is moved.", &hostCommand{editCommand: editCommand{program: p}, drain: true}},
			{"undrain", "give a host work again", "Ends an earlier drain.", &hostCommand{editCommand: editCommand{program: p}}},
		}},
		{"task", "tasks", []subcommand{
			{"submit", "submit tasks of a template", "Prints the ids of the tasks accepted.", &taskSubmitCommand{program: p}},
			{"status", "show a task", "Shows state, attempt, worker and reason.", &taskStatusCommand{program: p}},
			{"wait", "wait for tasks to end", "Exit code 0 only if all ended as Done.", &taskWaitCommand{program: p}},
			{"cancel", "cancel tasks", "Queued ones end at once, running ones are stopped.", &taskCancelCommand{program: p}},
		}},
		{"check", "check files without a daemon", []subcommand{
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

// progress overwrites the progress line on a terminal.
func (p *Program) progress(format string, values ...any) {
	if p.interactive {
		fmt.Fprintf(p.errors, "\r\x1b[K"+format, values...)
	}
}

// endProgress ends the progress line.
func (p *Program) endProgress() {
	if p.interactive {
		fmt.Fprintln(p.errors)
	}
}
