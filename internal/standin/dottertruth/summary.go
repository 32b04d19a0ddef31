package dottertruth

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// domainSummary aggregates the records of one failure domain.
type domainSummary struct {
	requests    int
	maxRunning  int
	slots       int
	maxOpen     int
	connections int
	starts      int
	phases      map[dotterattempt.Phase]int
}

// WriteSummary writes a human-readable table of the records of each failure
// domain, followed by the store calls and the violations.
func (t Truth) WriteSummary(w io.Writer) error {
	summaries := t.summaries()
	names := make([]string, 0, len(summaries))
	for name := range summaries {
		names = append(names, name)
	}
	sort.Strings(names)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "domain\trequests\tmost at once\tmost connections\tattempts\tdone\tfailed\tcheckpointed\tstopped\tlapsed\trunning")
	for _, name := range names {
		s := summaries[name]
		fmt.Fprintf(table, "%s\t%d\t%d of %d\t%d of %d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name,
			s.requests, s.maxRunning, s.slots, s.maxOpen, s.connections, s.starts,
			s.phases[dotterattempt.PhaseDone], s.phases[dotterattempt.PhaseFailed],
			s.phases[dotterattempt.PhaseCheckpointed], s.phases[dotterattempt.PhaseStopped],
			s.phases[dotterattempt.PhaseLapsed], s.phases[dotterattempt.PhaseRunning])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return t.writeTotals(w)
}

func (t Truth) writeTotals(w io.Writer) error {
	duration := (t.Now - t.Since).Seconds()
	calls := 0
	for _, n := range t.Store.ByKind {
		calls += n
	}
	fmt.Fprintf(w, "store: %d calls in %.1f s, %d bytes in, %d bytes out\n", calls, duration, t.Store.BytesIn, t.Store.BytesOut)
	for _, v := range t.Violations {
		fmt.Fprintf(w, "violation: %s %s: %s\n", v.Kind, v.Subject, v.Detail)
	}
	_, err := fmt.Fprintf(w, "violations: %d\n", len(t.Violations))
	return err
}

func (t Truth) summaries() map[string]*domainSummary {
	summaries := map[string]*domainSummary{}
	summaryFor := func(domain string) *domainSummary {
		if summaries[domain] == nil {
			summaries[domain] = &domainSummary{phases: map[dotterattempt.Phase]int{}}
		}
		return summaries[domain]
	}
	for _, b := range t.Backends {
		s := summaryFor(b.FailureDomain)
		s.requests += b.Requests
		s.maxRunning = max(s.maxRunning, b.MaxRunning)
		s.slots = b.Slots
		s.maxOpen = max(s.maxOpen, b.MaxOpen)
		s.connections = b.Connections
	}
	for _, r := range t.Runs {
		s := summaryFor(r.FailureDomain)
		s.starts++
		s.phases[r.Phase]++
	}
	return summaries
}
