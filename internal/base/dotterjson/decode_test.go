package dotterjson

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
)

type sample struct {
	Name  string
	Size  int
	Inner struct{ Flag bool }
	List  []sample
}

func TestDecodeReportsEveryFaultWithLine(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"unknown field":   {"{\n  \"Name\": \"x\",\n  \"Colour\": 1\n}", "f:3: /Colour: there is no such field"},
		"wrong case":      {"{\n  \"name\": \"x\"\n}", "f:2: /name: there is no such field"},
		"duplicate field": {"{\n  \"Size\": 1,\n  \"Size\": 2,\n}", "f:3: /Size: the field stands twice"},
		"wrong type":      {"{\n  // a comment\n  \"Size\": \"big\"\n}", "f:3: /Size: \"big\" stands where a whole number belongs"},
		"fraction":        {"{\"Size\": 1.5}", "f:1: /Size: 1.5 stands where a whole number belongs"},
		"object for text": {"{\"Name\": {}}", "f:1: /Name: an object stands where a text belongs"},
		"list for object": {"{\n\n\"Inner\": []}", "f:3: /Inner: a list stands where an object belongs"},
		"in a list":       {"{\"List\": [{\"Name\": \"a\"},\n{\"Nme\": \"b\"}]}", "f:2: /List/1/Nme: there is no such field"},
		"two faults":      {"{\n\"A\": 1,\n\"B\": 2}", "f:2: /A: there is no such field\nf:3: /B: there is no such field"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := Decode("f", []byte(tc.text), &sample{})
			require.Error(t, err)
			assert.Equal(t, tc.want, err.Error())
		})
	}
}

func TestDecodeReportsLineOfSyntaxError(t *testing.T) {
	err := Decode("f", []byte("{\n  \"Name\": ,\n}"), &sample{})
	assert.ErrorContains(t, err, "f:2:")
}

func TestDecodeDoesNotCheckRawMessages(t *testing.T) {
	var target struct{ Raw json.RawMessage }
	require.NoError(t, Decode("f", []byte(`{"Raw": {"Any": [1, "x"]}}`), &target))
	assert.JSONEq(t, `{"Any": [1, "x"]}`, string(target.Raw))
}

func TestLocateReturnsLineOfNearestAncestor(t *testing.T) {
	data := []byte("{\n  \"Inner\": {\n  }\n}")
	faults := &dottercheck.Faults{List: []dottercheck.Fault{{Pointer: "/Inner/Flag", Problem: "missing"}}}
	assert.Equal(t, "f:2: /Inner/Flag: missing", Locate("f", data, faults).Error())
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("{\"Name\": \"x\", // c\n}"))
	f.Add([]byte("[{]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		_ = Decode("f", data, &s)
	})
}
