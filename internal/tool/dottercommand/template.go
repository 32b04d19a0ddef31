package dottercommand

import (
	"fmt"
	"os"
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

type templateListCommand struct {
	program *Program
}

// Execute lists the templates.
func (c *templateListCommand) Execute([]string) error {
	var document dotterconfig.Document
	if err := c.program.operator().Get(c.program.ctx, "/v1/configuration", &document); err != nil {
		return err
	}
	rows := [][]string{{"NAME", "TEAM", "KIND", "RANK", "REPEATABLE"}}
	for _, t := range document.Templates {
		rows = append(rows, []string{t.Name, t.Team, string(t.Kind), strconv.Itoa(t.Rank), strconv.FormatBool(t.Repeatable)})
	}
	return c.program.print(document.Templates, rows)
}

// templateArgument holds the positional argument of commands that take a template name.
type templateArgument struct {
	Name string `positional-arg-name:"NAME" description:"name of the template"`
}

type templateShowCommand struct {
	program *Program
	Args    templateArgument `positional-args:"yes" required:"yes"`
}

// Execute prints one template.
func (c *templateShowCommand) Execute([]string) error {
	var document dotterconfig.Document
	if err := c.program.operator().Get(c.program.ctx, "/v1/configuration", &document); err != nil {
		return err
	}
	template, ok := document.Template(c.Args.Name)
	if !ok {
		return fmt.Errorf("template %q: %w", c.Args.Name, errUnknownItem)
	}
	return c.program.printJSON(template)
}

type templateSetCommand struct {
	editCommand
	Args struct {
		File string `positional-arg-name:"FILE" description:"template, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates or replaces the template in the file.
func (c *templateSetCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	var template dotterconfig.Template
	if err := dotterjson.Decode(c.Args.File, data, &template); err != nil {
		return err
	}
	document, err := c.current()
	if err != nil {
		return err
	}
	before, err := document.Item("Templates/" + template.Name)
	if err != nil {
		return err
	}
	return c.sendItem("Templates/"+template.Name, before, template)
}

type templateRemoveCommand struct {
	editCommand
	Args templateArgument `positional-args:"yes" required:"yes"`
}

// Execute removes the template.
func (c *templateRemoveCommand) Execute([]string) error {
	document, err := c.current()
	if err != nil {
		return err
	}
	template, ok := document.Template(c.Args.Name)
	if !ok {
		return fmt.Errorf("template %q: %w", c.Args.Name, errUnknownItem)
	}
	return c.sendItem("Templates/"+template.Name, template, nil)
}
