package dottercommand

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

type parameterSetCommand struct {
	editCommand
	Args struct {
		Template string   `positional-arg-name:"TEMPLATE" description:"name of the template"`
		Fields   []string `positional-arg-name:"FIELD=VALUE" required:"1" description:"field and its new value, a JSON value or a plain word"`
	} `positional-args:"yes" required:"yes"`
}

// Execute changes fields of the template.
func (c *parameterSetCommand) Execute([]string) error {
	document, err := c.current()
	if err != nil {
		return err
	}
	before, ok := document.Template(c.Args.Template)
	if !ok {
		return fmt.Errorf("template %q: %w", c.Args.Template, errUnknownItem)
	}
	after, err := withFields(before, c.Args.Fields)
	if err != nil {
		return err
	}
	return c.sendItem("Templates/"+before.Name, before, after)
}

// withFields returns a copy of t with the FIELD=VALUE assignments applied.
func withFields(t dotterconfig.Template, assignments []string) (dotterconfig.Template, error) {
	for _, a := range assignments {
		field, value, ok := strings.Cut(a, "=")
		if !ok {
			return t, fmt.Errorf("%q: must have the form FIELD=VALUE: %w", a, errUsage)
		}
		if field == "Name" {
			return t, fmt.Errorf("%q: a template cannot be renamed: %w", a, errFieldNotSettable)
		}
		object := fmt.Sprintf("{%q: %s}", field, asJSON(value))
		if err := dotterjson.Decode("parameter "+a, []byte(object), &t); err != nil {
			return t, err
		}
	}
	return t, nil
}

// asJSON returns value if it is valid JSON, else value as a JSON string.
func asJSON(value string) string {
	if json.Valid([]byte(value)) {
		return value
	}
	quoted, _ := json.Marshal(value)
	return string(quoted)
}
