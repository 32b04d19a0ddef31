package dottercommand

import "github.com/jessevdk/go-flags"

// subcommand is a command with its help texts.
type subcommand struct {
	name    string
	short   string
	long    string
	command flags.Commander
}

// commandGroup is a command that only groups subcommands.
type commandGroup struct {
	name        string
	short       string
	subcommands []subcommand
}

func (g commandGroup) addTo(parser *flags.Parser) error {
	parent, err := parser.AddCommand(g.name, g.short, g.short, &struct{}{})
	if err != nil {
		return err
	}
	for _, e := range g.subcommands {
		if _, err := parent.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			return err
		}
	}
	return nil
}
