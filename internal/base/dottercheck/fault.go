package dottercheck

import (
	"fmt"
	"strings"
)

// Fault is one invalid field of a document.
type Fault struct {
	Pointer string // JSON pointer (RFC 6901) of the field
	Line    int    `json:",omitempty"` // line in the file; 0 if unknown
	Problem string // the value found and the values allowed
}

// WithLine returns a copy of f with the given line.
func (f Fault) WithLine(line int) Fault {
	f.Line = line
	return f
}

// String returns the line, if known, the pointer and the problem.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Pointer, f.Problem)
	}
	return fmt.Sprintf("%d: %s: %s", f.Line, f.Pointer, f.Problem)
}

// Clip returns the beginning of text if it is longer than the limit, in bytes. Problems quote it of a
// document that may have any length.
func Clip(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}
