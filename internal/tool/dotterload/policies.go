package dotterload

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dottercomparison"
)

// policiesCommand compares routing policies.
type policiesCommand struct {
	Millis int64    `long:"millis" value-name:"MS" default:"5000" description:"length of each of the runs, 100 to 600000 milliseconds"`
	Seed   uint64   `long:"seed" value-name:"N" default:"1" description:"seed of the arrivals and the service times"`
	Cases  []string `long:"case" value-name:"NAME" description:"a case to run; may be given several times; all if left out: Load50, Load80, Load95, Slow50, Slow80, Slow95, Kill80, Overload300"`
	Report string   `long:"report" value-name:"FILE" description:"file for the results in JSON"`

	program *Program
}

// Execute runs the selected cases with every policy.
func (c *policiesCommand) Execute([]string) error {
	if c.Millis < 100 || c.Millis > 600_000 {
		return eris.Wrap(errOutOfRange, "--millis")
	}
	cases, err := c.selectedCases()
	if err != nil {
		return err
	}
	options := dottercomparison.Options{Millis: dotterclock.Millis(c.Millis), Seed: c.Seed}
	results, err := dottercomparison.Run(c.program.ctx, options, cases, c.program.out)
	if err != nil || c.Report == "" {
		return err
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "results")
	}
	return os.WriteFile(c.Report, append(data, '\n'), 0o644)
}

// selectedCases returns the cases to run, or a *flags.Error that names an unknown one.
func (c *policiesCommand) selectedCases() ([]dottercomparison.Case, error) {
	all := dottercomparison.Cases()
	if len(c.Cases) == 0 {
		return all, nil
	}
	var selected []dottercomparison.Case
	for _, name := range c.Cases {
		i := slices.IndexFunc(all, func(k dottercomparison.Case) bool { return k.Name == name })
		if i < 0 {
			return nil, &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf("--case %q: no such case", name)}
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}
