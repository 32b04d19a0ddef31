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

// Decode decodes data, JSON with comments, into target and returns a
// *dottercheck.Faults that names source and lines if anything is wrong.
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

// Locate returns err with a line for each fault whose field stands in data; an
// error that is not a *dottercheck.Faults is returned as it is.
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

// lineOf returns the line of the field at pointer, or of the nearest parent
// that stands in the document.
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

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte{'\n'})
}

func syntaxFault(source string, err error) error {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 0
	fmt.Sscanf(text, "line %d", &line)
	fault := dottercheck.Fault{Pointer: "/", Line: line, Problem: text}
	return &dottercheck.Faults{Source: source, List: []dottercheck.Fault{fault}}
}
