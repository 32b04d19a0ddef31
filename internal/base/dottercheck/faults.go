package dottercheck

import "strings"

// Faults is an error that lists all faults of one document.
type Faults struct {
	Source string // file name or other name of the document
	List   []Fault
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
	return strings.Join(lines, "\n")
}
