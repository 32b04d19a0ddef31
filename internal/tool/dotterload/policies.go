package dotterload

import (
	"encoding/json"
	"os"
	"slices"

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
	options := dottercomparison.Options{Millis: dotterclock.Millis(c.Millis), Seed: c.Seed}
	results, err := dottercomparison.Run(c.program.ctx, options, c.selectedCases(), c.program.out)
	if err != nil || c.Report == "" {
		return err
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "results")
	}
	return os.WriteFile(c.Report, append(data, '\n'), 0o644)
}

func (c *policiesCommand) selectedCases() []dottercomparison.Case {
	all := dottercomparison.Cases()
	if len(c.Cases) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(k dottercomparison.Case) bool {
		return !slices.Contains(c.Cases, k.Name)
	})
}
