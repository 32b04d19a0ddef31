package dottercommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// fakeDaemon serves the operators' API and applies edits to one document.
type fakeDaemon struct {
	document dotterconfig.Document
	behind   int64 // revisions that the entry host e2 lags behind
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/configuration":
		_ = json.NewEncoder(w).Encode(d.document)
	case "/v1/status":
		lagging := dottermessage.EntryHostStatus{Host: "e2", Reached: true, Revision: d.document.Revision - d.behind}
		unreached := dottermessage.EntryHostStatus{Host: "e3"}
		_ = json.NewEncoder(w).Encode(dottermessage.StatusAnswer{Host: "e1", Revision: d.document.Revision, EntryHosts: []dottermessage.EntryHostStatus{lagging, unreached}})
	case "/v1/configuration/edits":
		d.edit(w, r)
	}
}

func (d *fakeDaemon) edit(w http.ResponseWriter, r *http.Request) {
	var request dottermessage.EditRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	next, err := d.document.WithEdits(request.ChangeID, request.By, request.Edits)
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(dottermessage.ErrorAnswer{Outcome: dotteroutcome.NotRun, Error: err.Error()})
		return
	}
	d.document = next
	_ = json.NewEncoder(w).Encode(dottermessage.EditAnswer{Revision: next.Revision})
}

// run executes one command line against d and returns the exit code, the standard output
// and the standard error.
func run(t *testing.T, d *fakeDaemon, arguments ...string) (int, string, string) {
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	var out, errors bytes.Buffer
	address := strings.TrimPrefix(server.URL, "http://")
	p := NewProgram(context.Background(), &out, &errors, false)
	code := p.Run(append([]string{"--operator", address}, arguments...))
	return code, out.String(), errors.String()
}

// demo reads the configuration of the demo example.
func demo(t *testing.T) dotterconfig.Document {
	document, err := readConfiguration("../../../examples/demo/configuration.jsonc")
	require.NoError(t, err)
	return document
}

func TestCommandsThatEdit(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		code      int
		output    string
		check     func(dotterconfig.Document) bool
	}{
		"domain out":        {[]string{"domain", "out", "a"}, ExitDone, "in force on every entry host", func(d dotterconfig.Document) bool { return d.DomainOut("a") }},
		"domain already in": {[]string{"domain", "in", "a"}, ExitDone, "nothing to change", func(d dotterconfig.Document) bool { return !d.DomainOut("a") }},
		"unknown domain":    {[]string{"domain", "out", "z"}, ExitUsage, `failure domain "z": no such item`, nil},
		"drain":             {[]string{"host", "drain", "w1"}, ExitDone, "revision 1", func(d dotterconfig.Document) bool { return d.IsDraining("w1") }},
		"split":             {[]string{"partner", "split", "north=50", "south=50"}, ExitDone, "revision 1", func(d dotterconfig.Document) bool { return d.Partners[0].SharePercent == 50 }},
		"faulty split":      {[]string{"partner", "split", "north=50"}, ExitRefused, "sum to 50 percent", nil},
		"no number":         {[]string{"partner", "split", "north=half"}, ExitUsage, "a number of percent", nil},
		"parameter": {[]string{"parameter", "set", "refresh", "TargetMillis=150", "KeyedOutage=Allow"}, ExitDone, "revision 1", func(d dotterconfig.Document) bool {
			template, _ := d.Template("refresh")
			return template.TargetMillis == 150 && template.KeyedOutage == dotterconfig.RuleAllow
		}},
		"unknown parameter":         {[]string{"parameter", "set", "refresh", "Colour=1"}, ExitUsage, "/Colour: there is no such field", nil},
		"parameter of another type": {[]string{"parameter", "set", "refresh", "Rank=high"}, ExitUsage, "a whole number", nil},
		"remove": {[]string{"template", "remove", "refresh"}, ExitDone, "revision 1", func(d dotterconfig.Document) bool {
			_, ok := d.Template("refresh")
			return !ok
		}},
		"unknown command": {[]string{"dance"}, ExitUsage, "Unknown command", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDaemon{document: demo(t)}
			code, out, errors := run(t, d, tc.arguments...)
			assert.Equal(t, tc.code, code, errors)
			assert.Contains(t, out+errors, tc.output)
			if tc.check != nil {
				assert.True(t, tc.check(d.document))
			}
		})
	}
}

func TestEditNamesHostsThatLagBehind(t *testing.T) {
	d := &fakeDaemon{document: demo(t), behind: 1}
	code, _, errors := run(t, d, "domain", "out", "--wait", "300", "a")
	assert.Equal(t, ExitTimeout, code)
	assert.Contains(t, errors, "not in force on e2")
}

func TestEditNamesHostsThatCannotBeReached(t *testing.T) {
	code, out, _ := run(t, &fakeDaemon{document: demo(t)}, "domain", "out", "a")
	assert.Equal(t, ExitDone, code)
	assert.Regexp(t, `can't be reached: +e3`, out)
}

func TestUnreachableDaemon(t *testing.T) {
	var out, errors bytes.Buffer
	p := NewProgram(context.Background(), &out, &errors, false)
	assert.Equal(t, ExitUnreachable, p.Run([]string{"--operator", "127.0.0.1:1", "status"}))
}

func TestOutputIsJSONWhenAskedFor(t *testing.T) {
	_, out, _ := run(t, &fakeDaemon{document: demo(t)}, "--output", "json", "template", "list")
	var templates []dotterconfig.Template
	require.NoError(t, json.Unmarshal([]byte(out), &templates))
	assert.Len(t, templates, 5)
}

func TestCheckNamesFileAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(path, []byte("{\n \"Partners\": [],\n \"Colour\": 1\n}"), 0o600))
	code, _, errors := run(t, &fakeDaemon{}, "check", "configuration", path)
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, errors, path+":3: /Colour: there is no such field")
}

func TestExampleConfigurationsAreAccepted(t *testing.T) {
	paths, err := filepath.Glob("../../../examples/*/configuration.jsonc")
	require.NoError(t, err)
	require.Len(t, paths, 3)
	for _, p := range paths {
		t.Run(p, func(t *testing.T) {
			_, err := readConfiguration(p)
			assert.NoError(t, err)
		})
	}
}
