package dottercommand

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// print writes value as JSON with --output json, else the rows as a table.
func (p *Program) print(value any, rows [][]string) error {
	if p.Output == "json" {
		return p.printJSON(value)
	}
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(table, strings.Join(r, "\t"))
	}
	return table.Flush()
}

func (p *Program) printJSON(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
