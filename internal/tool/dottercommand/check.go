package dottercommand

import (
	"errors"
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
)

// fileArguments holds the positional arguments of commands that check files.
type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1" description:"file to check"`
}

// checkEach checks every file and returns the errors of all of them joined.
func (a fileArguments) checkEach(p *Program, check func(path string) error) error {
	var all []error
	for _, f := range a.Files {
		err := check(f)
		if err == nil {
			fmt.Fprintf(p.out, "%s: no faults\n", f)
			continue
		}
		all = append(all, err)
	}
	return errors.Join(all...)
}

type checkSettingsCommand struct {
	program *Program
	Args    fileArguments `positional-args:"yes" required:"yes"`
}

// Execute checks settings files.
func (c *checkSettingsCommand) Execute([]string) error {
	return c.Args.checkEach(c.program, func(path string) error {
		_, err := dottersettings.Load(path)
		return err
	})
}

type checkConfigurationCommand struct {
	program *Program
	Args    fileArguments `positional-args:"yes" required:"yes"`
}

// Execute checks configuration files.
func (c *checkConfigurationCommand) Execute([]string) error {
	return c.Args.checkEach(c.program, func(path string) error {
		_, err := readConfiguration(path)
		return err
	})
}
