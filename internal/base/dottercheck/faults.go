package dottercheck

import (
	"strconv"
	"strings"
)

// Faults is an error that lists the faults of one document.
type Faults struct {
	Source string // file name or other name of the document
	List   []Fault
	More   int // least number of further faults, which are not listed
}

var _ error = (*Faults)(nil)

// Error returns one line per fault, each with source, line and field.
func (f *Faults) Error() string {
	var lines []string
	for _, x := range f.List {
		separator := ": "
		if x.Line > 0 {
			separator = ":"
		}
		lines = append(lines, f.Source+separator+x.String())
	}
	if f.More > 0 {
		lines = append(lines, f.Source+": and at least "+strconv.Itoa(f.More)+" more")
	}
	return strings.Join(lines, "\n")
}
