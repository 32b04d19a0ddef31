package dottercommand

import "github.com/jessevdk/go-flags"

// entry is one command as the help shows it.
type entry struct {
	name    string
	short   string
	long    string
	command flags.Commander
}

// group is a command that has commands below it.
type group struct {
	name    string
	short   string
	entries []entry
}

func (g group) addTo(parser *flags.Parser) error {
	parent, err := parser.AddCommand(g.name, g.short, g.short, &struct{}{})
	if err != nil {
		return err
	}
	for _, e := range g.entries {
		if _, err := parent.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			return err
		}
	}
	return nil
}
