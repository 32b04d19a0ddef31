package dotterjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
)

// Decode decodes data, which is JSON with comments, into the value that target
// points to. If data is invalid it returns a *dottercheck.Faults with source and the
// line of each fault. Besides the decoded value it holds little more than data.
func Decode(source string, data []byte, target any) error {
	standard := standardize(data)
	if err := checkSyntax(source, standard); err != nil {
		return err
	}
	w := newWalker(standard)
	w.walk(reflect.TypeOf(target).Elem(), "")
	if err := w.check.Err(source); err != nil {
		return err
	}
	if err := json.Unmarshal(standard, target); err != nil {
		return syntaxFault(source, standard, err)
	}
	return nil
}

// Locate adds source and line numbers to the faults in err, where data is the
// document that was checked. It returns any error other than a *dottercheck.Faults
// unchanged.
func Locate(source string, data []byte, err error) error {
	var faults *dottercheck.Faults
	if !errors.As(err, &faults) {
		return err
	}
	standard := standardize(data)
	if checkSyntax(source, standard) != nil {
		return err
	}
	located := &dottercheck.Faults{Source: source, More: faults.More}
	lines := linesOf(standard)
	for _, f := range faults.List {
		located.List = append(located.List, f.WithLine(nearestLine(lines, f.Pointer)))
	}
	return located
}

// nearestLine returns the line of the value at pointer, or of its nearest ancestor
// that is present in the document.
func nearestLine(lines map[string]int, pointer string) int {
	for {
		if line, ok := lines[pointer]; ok {
			return line
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 1
		}
		pointer = pointer[:cut]
	}
}

// lineAt returns the number of the line that contains offset, counted from 1.
func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte{'\n'})
}

// checkSyntax returns a *dottercheck.Faults if data is not one JSON value, or is nested too deeply.
func checkSyntax(source string, data []byte) error {
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return syntaxFault(source, data, err)
	}
	return nil
}

// syntaxFault converts an error of encoding/json into a *dottercheck.Faults.
func syntaxFault(source string, data []byte, err error) error {
	fault := dottercheck.Fault{Pointer: "/", Problem: err.Error()}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		fault = fault.WithLine(lineAt(data, int(max(0, syntax.Offset-1))))
	}
	return &dottercheck.Faults{Source: source, List: []dottercheck.Fault{fault}}
}
