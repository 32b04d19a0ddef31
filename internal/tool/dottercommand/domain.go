package dottercommand

import "fmt"

type domainCommand struct {
	editCommand
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the failure domain"`
	} `positional-args:"yes" required:"yes"`
	out bool
}

// Execute takes the failure domain out of service or brings it back.
func (c *domainCommand) Execute([]string) error {
	document, err := c.current()
	if err != nil {
		return err
	}
	before, ok := document.FailureDomain(c.Args.Name)
	if !ok {
		return fmt.Errorf("failure domain %q: %w", c.Args.Name, errUnknownItem)
	}
	after := before
	after.Out = c.out
	if after == before {
		return c.send()
	}
	return c.sendItem("FailureDomains/"+before.Name, before, after)
}
