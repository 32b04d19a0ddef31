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
	ExitDone   = 0
	ExitFailed = 1 // the run failed
	ExitUsage  = 2 // faulty command line
)

// Program is the command-line program.
type Program struct {
	ctx    context.Context
	out    io.Writer
	errors io.Writer
}

// NewProgram returns a program that writes to out and errors; a run ends with ctx.
func NewProgram(ctx context.Context, out, errors io.Writer) *Program {
	return &Program{ctx: ctx, out: out, errors: errors}
}

// Run executes the command in arguments and returns the exit code.
func (p *Program) Run(arguments []string) int {
	parser := flags.NewNamedParser("dotterload", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Generates open-loop load with arrival times from a fixed seed, limited in duration and number of requests. " +
		"Exit codes: 0 done, 1 the run failed, 2 faulty command line."
	for _, c := range p.commands() {
		_, err := parser.AddCommand(c.name, c.short, c.long, c.command)
		if err != nil {
			fmt.Fprintln(p.errors, err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return p.handleError(err)
}

// command is a subcommand with its help.
type command struct {
	name, short, long string
	command           flags.Commander
}

func (p *Program) commands() []command {
	return []command{
		{"run", "send requests and tasks", "Sends service requests and task submissions to entry hosts and reports latencies by kind and outcome.", &runCommand{program: p}},
		{"compare", "measure the latency that the path through a daemon adds", "Sends the same load straight to backend servers and through entry hosts at the same time and reports the difference.", &compareCommand{program: p}},
		{"policies", "compare routing policies within this process", "Runs the router against round robin, random and an unbounded queue over simulated backend servers.", &policiesCommand{program: p}},
	}
}

// handleError prints err, or the requested help text, and returns the exit code.
func (p *Program) handleError(err error) int {
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
	return ExitFailed
}
