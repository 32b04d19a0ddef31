package dotterproxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

func TestRequestReachesBackendUnchanged(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(dotteroutcome.Header, "Forged")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.RequestURI(), body, r.Header.Get(dotterrequest.HeaderRequest))
	})
	f := startProxy(t, nil, backendHost("b1", address, "clearance"))
	tests := map[string]struct{ method, path, body, want string }{
		"plain":         {"POST", "clearance/transfers?kind=a%20b", "42", "POST /transfers?kind=a%20b 42 id-1"},
		"escaped path":  {"PUT", "clearance/a%2Fb//c", "x", "PUT /a%2Fb//c x id-1"},
		"double slash":  {"PUT", "clearance//host/c", "x", "PUT //host/c x id-1"},
		"no path":       {"GET", "clearance", "", "GET /  id-1"},
		"delete":        {"DELETE", "clearance/1", "", "DELETE /1  id-1"},
		"escaped query": {"GET", "clearance/1?q=%2F&r", "", "GET /1?q=%2F&r  id-1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := f.call(t, tc.method, tc.path, tc.body, dotterrequest.HeaderRequest, "id-1")
			assert.Equal(t, http.StatusCreated, got.status, got.body)
			assert.Equal(t, dotteroutcome.Done, got.outcome)
			assert.Equal(t, tc.want, got.body)
			assert.Equal(t, "id-1", got.header.Get(dotterrequest.HeaderRequest))
		})
	}
}
