package dotterjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// walker compares a parsed document with the type it is to be decoded into and
// collects the faults.
type walker struct {
	data   []byte
	faults []dottercheck.Fault
}

func (w *walker) walk(value hujson.Value, typ reflect.Type, pointer string) {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if reflect.PointerTo(typ).Implements(unmarshalerType) {
		return // the type decodes itself, such as json.RawMessage
	}
	switch x := value.Value.(type) {
	case *hujson.Object:
		w.object(value, x, typ, pointer)
	case *hujson.Array:
		w.array(value, x, typ, pointer)
	case hujson.Literal:
		w.literal(value, x, typ, pointer)
	}
}

func (w *walker) object(value hujson.Value, object *hujson.Object, typ reflect.Type, pointer string) {
	if typ.Kind() == reflect.Map {
		w.members(object, pointer, func(string) (reflect.Type, bool) { return typ.Elem(), true })
		return
	}
	if typ.Kind() != reflect.Struct {
		w.fail(value, pointer, fmt.Sprintf("an object stands where %s belongs", kindName(typ)))
		return
	}
	fields := fieldTypes(typ)
	w.members(object, pointer, func(name string) (reflect.Type, bool) {
		field, ok := fields[name]
		return field, ok
	})
}

func (w *walker) members(object *hujson.Object, pointer string, typeOf func(string) (reflect.Type, bool)) {
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + escape(name)
		if seen[name] {
			w.fail(m.Name, memberPointer, "the field stands twice")
		}
		seen[name] = true
		typ, known := typeOf(name)
		if !known {
			w.fail(m.Name, memberPointer, "there is no such field")
			continue
		}
		w.walk(m.Value, typ, memberPointer)
	}
}

func (w *walker) array(value hujson.Value, array *hujson.Array, typ reflect.Type, pointer string) {
	if typ.Kind() != reflect.Slice {
		w.fail(value, pointer, fmt.Sprintf("a list stands where %s belongs", kindName(typ)))
		return
	}
	for i, e := range array.Elements {
		w.walk(e, typ.Elem(), pointer+"/"+strconv.Itoa(i))
	}
}

func (w *walker) literal(value hujson.Value, literal hujson.Literal, typ reflect.Type, pointer string) {
	if err := json.Unmarshal(literal, reflect.New(typ).Interface()); err != nil {
		w.fail(value, pointer, fmt.Sprintf("%s stands where %s belongs", string(literal), kindName(typ)))
	}
}

func (w *walker) fail(value hujson.Value, pointer, problem string) {
	line := lineAt(w.data, value.StartOffset)
	w.faults = append(w.faults, dottercheck.Fault{Pointer: pointer, Line: line, Problem: problem})
}

// fieldTypes returns the types of a struct's JSON fields by name, including those
// of embedded structs.
func fieldTypes(typ reflect.Type) map[string]reflect.Type {
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
	return fields
}

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
