package dottercheck

import "fmt"

// Fault is one thing wrong with a document.
type Fault struct {
	Pointer string // RFC 6901 pointer of the field
	Line    int    `json:",omitempty"` // line in the file; 0 if unknown
	Problem string // what was found and what is allowed
}

// WithLine returns a copy of f at line.
func (f Fault) WithLine(line int) Fault {
	f.Line = line
	return f
}

// String returns f without the file's name.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Pointer, f.Problem)
	}
	return fmt.Sprintf("%d: %s: %s", f.Line, f.Pointer, f.Problem)
}
