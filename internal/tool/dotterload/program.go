package dotterload

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitDone  = 0
	ExitRun   = 1 // the run failed
	ExitUsage = 2 // faulty command line
)

// Program is the command line.
type Program struct {
	ctx    context.Context
	out    io.Writer
	errors io.Writer
}

// NewProgram returns the command line that writes to out and errors; a run ends with ctx.
func NewProgram(ctx context.Context, out, errors io.Writer) *Program {
	return &Program{ctx: ctx, out: out, errors: errors}
}

// Run carries out the command that arguments name and returns the exit code.
func (p *Program) Run(arguments []string) int {
	parser := flags.NewNamedParser("dotterload", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Makes open-loop load with arrivals from a fixed seed, bounded in time and count. " +
		"Exit codes: 0 done, 1 the run failed, 2 faulty command line."
	for _, c := range p.commands() {
		_, err := parser.AddCommand(c.name, c.short, c.long, c.command)
		if err != nil {
			fmt.Fprintln(p.errors, err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return p.exit(err)
}

// command is a subcommand with its help.
type command struct {
	name, short, long string
	command           flags.Commander
}

func (p *Program) commands() []command {
	return []command{
		{"run", "send requests and tasks", "Sends service requests and task submissions to entry hosts and reports latencies by kind and outcome.", &runCommand{program: p}},
		{"compare", "measure what the path through a daemon adds", "Sends the same load straight to backend servers and through entry hosts at the same time and reports the difference.", &compareCommand{program: p}},
		{"policies", "compare routing policies within this process", "Runs the router against round robin, random and an unbounded queue over backend servers that only wait.", &policiesCommand{program: p}},
	}
}

func (p *Program) exit(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(p.out, err)
		return ExitDone
	case errors.As(err, &usage):
		fmt.Fprintln(p.errors, err)
		return ExitUsage
	}
	fmt.Fprintln(p.errors, err)
	return ExitRun
}
