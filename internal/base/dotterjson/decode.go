package dotterjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
)

// Decode decodes data, which is JSON with comments, into the value that target
// points to. If data is invalid it returns a *dottercheck.Faults with source and the
// line of each fault.
func Decode(source string, data []byte, target any) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return syntaxFault(source, err)
	}
	w := walker{data: data}
	w.walk(root, reflect.TypeOf(target).Elem(), "")
	if len(w.faults) > 0 {
		return &dottercheck.Faults{Source: source, List: w.faults}
	}
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return syntaxFault(source, err)
	}
	if err := json.Unmarshal(standard, target); err != nil {
		return syntaxFault(source, err)
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
	root, parseErr := hujson.Parse(data)
	if parseErr != nil {
		return err
	}
	located := &dottercheck.Faults{Source: source}
	for _, f := range faults.List {
		located.List = append(located.List, f.WithLine(lineOf(data, root, f.Pointer)))
	}
	return located
}

// lineOf returns the line of the field at pointer, or of its nearest ancestor
// that is present in the document.
func lineOf(data []byte, root hujson.Value, pointer string) int {
	for {
		if found := root.Find(pointer); found != nil {
			return lineAt(data, found.StartOffset)
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

// syntaxFault converts an error of hujson or encoding/json into a *dottercheck.Faults.
func syntaxFault(source string, err error) error {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 0
	fmt.Sscanf(text, "line %d", &line)
	fault := dottercheck.Fault{Pointer: "/", Line: line, Problem: text}
	return &dottercheck.Faults{Source: source, List: []dottercheck.Fault{fault}}
}
