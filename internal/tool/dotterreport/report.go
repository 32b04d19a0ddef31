package dotterreport

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// ErrNotWritten means that the report file could not be written.
var ErrNotWritten = eris.New("report: cannot write the file")

// Report is the result of a run.
type Report struct {
	Seconds   float64 // duration of the run
	Unsent    int64   // requests that were due but not sent, because too many were outstanding
	Generator Summary // delay of the generator behind the due times
	Rows      []Row
	Settings  any `json:",omitempty"` // settings of the run
}

// Row summarizes the requests of one kind that ended with one outcome.
type Row struct {
	Kind    string
	Outcome string
	Summary
}

// Summary is the distribution of latencies, in milliseconds.
type Summary struct {
	Count      int64
	MeanMillis float64
	P50Millis  float64
	P90Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
}

// Row returns the row of kind and outcome, or false.
func (r Report) Row(kind, outcome string) (Row, bool) {
	for _, row := range r.Rows {
		if row.Kind == kind && row.Outcome == outcome {
			return row, true
		}
	}
	return Row{}, false
}

// WithSettings returns a copy of r that includes the settings of the run.
func (r Report) WithSettings(settings any) Report {
	r.Settings = settings
	return r
}

// WriteTable writes r as a table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Kind\tOutcome\tCount\tPerSecond\tP50Millis\tP90Millis\tP99Millis\tP999Millis\tMaxMillis\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.Kind, row.Outcome, row.Count,
			float64(row.Count)/r.Seconds, row.P50Millis, row.P90Millis, row.P99Millis, row.P999Millis, row.MaxMillis)
	}
	fmt.Fprintf(t, "Generator\tLag\t%d\t\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Generator.Count,
		r.Generator.P50Millis, r.Generator.P90Millis, r.Generator.P99Millis, r.Generator.P999Millis, r.Generator.MaxMillis)
	if r.Unsent > 0 {
		fmt.Fprintf(t, "Generator\tUnsent\t%d\t\t\t\t\t\t\t\n", r.Unsent)
	}
	return t.Flush()
}

// Save writes r to the file at path as JSON.
func (r Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "report")
	}
	err = os.WriteFile(path, append(data, '\n'), 0o644)
	if err != nil {
		return eris.Wrapf(ErrNotWritten, "%s: %v", path, err)
	}
	return nil
}
