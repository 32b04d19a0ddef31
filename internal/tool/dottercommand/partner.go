package dottercommand

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

type partnerSplitCommand struct {
	editCommand
	Args struct {
		Shares []string `positional-arg-name:"PARTNER=PERCENT" required:"1" description:"partner and its share in percent; every partner is named"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces the partners and their shares.
func (c *partnerSplitCommand) Execute([]string) error {
	partners, err := parseSplit(c.Args.Shares)
	if err != nil {
		return err
	}
	document, err := c.current()
	if err != nil {
		return err
	}
	return c.sendItem("Partners", document.Partners, partners)
}

// parseSplit parses PARTNER=PERCENT arguments.
func parseSplit(shares []string) ([]dotterconfig.Partner, error) {
	var partners []dotterconfig.Partner
	for _, s := range shares {
		name, text, _ := strings.Cut(s, "=")
		percent, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("%q: a partner, '=' and a number of percent are needed: %w", s, errUsage)
		}
		partners = append(partners, dotterconfig.Partner{Name: name, SharePercent: percent})
	}
	return partners, nil
}
