package dottercommand

import (
	"os"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

type configurationShowCommand struct {
	program *Program
}

// Execute prints the configuration in force.
func (c *configurationShowCommand) Execute([]string) error {
	var document dotterconfig.Document
	if err := c.program.operator().Get(c.program.ctx, "/v1/configuration", &document); err != nil {
		return err
	}
	return c.program.printJSON(document)
}

type configurationImportCommand struct {
	editCommand
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends the differences between the configuration in force and the file as one change.
func (c *configurationImportCommand) Execute([]string) error {
	wanted, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	current, err := c.current()
	if err != nil {
		return err
	}
	edits, err := current.Difference(wanted)
	if err != nil {
		return err
	}
	return c.send(edits...)
}

// readConfiguration reads and checks a configuration file.
func readConfiguration(path string) (dotterconfig.Document, error) {
	var document dotterconfig.Document
	data, err := os.ReadFile(path)
	if err != nil {
		return document, err
	}
	if err := dotterjson.Decode(path, data, &document); err != nil {
		return document, err
	}
	return document, dotterjson.Locate(path, data, document.Check())
}
