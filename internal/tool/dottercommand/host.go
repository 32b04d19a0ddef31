package dottercommand

type hostCommand struct {
	editCommand
	Args struct {
		Name string `positional-arg-name:"HOST" description:"name of the worker or backend server"`
	} `positional-args:"yes" required:"yes"`
	drain bool
}

// Execute starts or ends the drain of the host.
func (c *hostCommand) Execute([]string) error {
	document, err := c.current()
	if err != nil {
		return err
	}
	item := "Draining/" + c.Args.Name
	switch {
	case document.IsDraining(c.Args.Name) == c.drain:
		return c.send()
	case c.drain:
		return c.sendItem(item, nil, c.Args.Name)
	}
	return c.sendItem(item, c.Args.Name, nil)
}
