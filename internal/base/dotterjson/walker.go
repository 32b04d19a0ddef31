package dotterjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// walker compares a document, which is valid JSON, with the type it is to be decoded into and
// collects the faults.
type walker struct {
	data    []byte
	decoder *json.Decoder
	fields  map[reflect.Type]map[string]reflect.Type // of the structs seen so far
	lines   map[string]int                           // of all values by pointer; nil: not wanted
	check   dottercheck.Checker

	counted, line int // line of an offset that was asked for before
}

func newWalker(data []byte) *walker {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // one out of range is a fault
	return &walker{data: data, decoder: decoder, fields: map[reflect.Type]map[string]reflect.Type{}, line: 1}
}

// linesOf returns the lines of all values of a document, by pointer.
func linesOf(data []byte) map[string]int {
	w := newWalker(data)
	w.lines = map[string]int{}
	w.walk(reflect.TypeFor[any](), "")
	return w.lines
}

// walk compares the next value with typ. For an interface it compares nothing. Once no more faults
// are recorded, it returns anywhere in the document.
func (w *walker) walk(typ reflect.Type, pointer string) {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	start := w.next()
	if w.lines != nil {
		w.lines[pointer] = w.lineAt(start)
	}
	if reflect.PointerTo(typ).Implements(unmarshalerType) {
		w.skip(w.token()) // the type decodes itself, such as json.RawMessage
		return
	}
	switch token := w.token(); token {
	case json.Delim('{'):
		w.object(token, start, typ, pointer)
	case json.Delim('['):
		w.array(token, start, typ, pointer)
	default:
		w.literal(start, typ, pointer)
	}
}

func (w *walker) object(open json.Token, start int, typ reflect.Type, pointer string) {
	switch typ.Kind() {
	case reflect.Interface:
		w.members(pointer, func(string) (reflect.Type, bool) { return typ, true })
	case reflect.Map:
		w.members(pointer, func(string) (reflect.Type, bool) { return typ.Elem(), true })
	case reflect.Struct:
		fields := w.fieldTypes(typ)
		w.members(pointer, func(name string) (reflect.Type, bool) {
			field, ok := fields[name]
			return field, ok
		})
	default:
		w.fail(start, pointer, fmt.Sprintf("an object stands where %s belongs", kindName(typ)))
		w.skip(open)
	}
}

func (w *walker) members(pointer string, typeOf func(string) (reflect.Type, bool)) {
	var seen map[string]bool
	for w.decoder.More() {
		if w.check.Full() {
			return
		}
		start := w.next()
		name, _ := w.token().(string)
		typ, known := typeOf(name)
		if known && !seen[name] {
			if seen == nil {
				seen = map[string]bool{}
			}
			seen[name] = true
			w.walk(typ, pointer+"/"+escape(name))
			continue
		}
		problem := "there is no such field"
		if known {
			problem = "the field stands twice"
		}
		w.fail(start, pointer+"/"+escape(name), problem)
		w.skip(w.token())
	}
	w.end()
}

func (w *walker) array(open json.Token, start int, typ reflect.Type, pointer string) {
	if typ.Kind() != reflect.Slice && typ.Kind() != reflect.Interface {
		w.fail(start, pointer, fmt.Sprintf("a list stands where %s belongs", kindName(typ)))
		w.skip(open)
		return
	}
	element := typ
	if typ.Kind() == reflect.Slice {
		element = typ.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if w.check.Full() {
			return
		}
		w.walk(element, pointer+"/"+strconv.Itoa(i))
	}
	w.end()
}

func (w *walker) literal(start int, typ reflect.Type, pointer string) {
	literal := w.data[start:w.decoder.InputOffset()]
	if err := json.Unmarshal(literal, reflect.New(typ).Interface()); err != nil {
		w.fail(start, pointer, fmt.Sprintf("%s stands where %s belongs", dottercheck.Clip(string(literal), maxShown), kindName(typ)))
	}
}

func (w *walker) fail(start int, pointer, problem string) {
	w.check.FailAt(dottercheck.Clip(pointer, maxShown), w.lineAt(start), problem)
}

// token returns the next token. The document is known to be valid.
func (w *walker) token() json.Token {
	token, err := w.decoder.Token()
	if err != nil {
		panic(err)
	}
	return token
}

// end reads the end of an object or list, unless the walk was ended within it.
func (w *walker) end() {
	if !w.check.Full() {
		w.token()
	}
}

// skip reads the rest of the value that begins with the token.
func (w *walker) skip(first json.Token) {
	depth := 0
	for token := first; ; token = w.token() {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return
		}
	}
}

// next returns the offset of the next token.
func (w *walker) next() int {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.data) && strings.IndexByte(" \t\r\n,:", w.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// lineAt returns the line of an offset, which is quick if offsets are asked for in their order.
func (w *walker) lineAt(offset int) int {
	if offset < w.counted {
		return lineAt(w.data, offset)
	}
	w.line += bytes.Count(w.data[w.counted:offset], []byte{'\n'})
	w.counted = offset
	return w.line
}

// fieldTypes returns the types of a struct's JSON fields by name, including those
// of embedded structs.
func (w *walker) fieldTypes(typ reflect.Type) map[string]reflect.Type {
	if fields, ok := w.fields[typ]; ok {
		return fields
	}
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(typ) {
		if f.Anonymous || !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	w.fields[typ] = fields
	return fields
}

// maxShown is how much of a document a fault shows, bytes.
const maxShown = 100

// kindName returns the description of the expected JSON value for fault messages.
func kindName(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a number"
}

// escape escapes name as a reference token of a JSON pointer (RFC 6901).
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
