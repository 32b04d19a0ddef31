package dottercommand

import (
	"fmt"
	"io"
	"os"

	"github.com/dotterelusher/dotterelusher/internal/tool/dotterexplain"
)

type explainCommand struct {
	program *Program
	Args    struct {
		ID   string   `positional-arg-name:"ID" description:"id of the job"`
		Logs []string `positional-arg-name:"LOG" required:"1" description:"log of a host"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the lines of several hosts' logs that concern a job.
func (c *explainCommand) Execute([]string) error {
	var logs []io.Reader
	for _, path := range c.Args.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // opened for reading only
		logs = append(logs, f)
	}
	lines, err := dotterexplain.Job(c.Args.ID, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line names the job %s", c.Args.ID)
	}
	if c.program.Output == "json" {
		return c.program.printJSON(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(c.program.out, l)
	}
	for _, wait := range dotterexplain.LostTasks(lines) {
		fmt.Fprintln(c.program.out, wait)
	}
	return nil
}
