package dotterproxy

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

func TestRefusedRequestsAreNotRun(t *testing.T) {
	address := startBackend(t, func(http.ResponseWriter, *http.Request) {
		t.Error("a refused request ran")
	})
	f := startProxy(t, nil, backendHost("b1", address, "clearance"))
	tests := map[string]struct {
		path    string
		body    string
		headers []string
		status  int
		reason  dotterrequest.Reason
	}{
		"unknown template": {"nothing/1", "", nil, http.StatusNotFound, dotterrequest.ReasonUnknownTemplate},
		"task template":    {"reweighting/1", "", nil, http.StatusNotFound, dotterrequest.ReasonUnknownTemplate},
		"timeout":          {"clearance/1", "", []string{dotterrequest.HeaderTimeout, "-1"}, http.StatusBadRequest, dotterrequest.ReasonBadRequest},
		"repeatable":       {"clearance/1", "", []string{dotterrequest.HeaderRepeatable, "maybe"}, http.StatusBadRequest, dotterrequest.ReasonBadRequest},
		"long id":          {"clearance/1", "", []string{dotterrequest.HeaderRequest, strings.Repeat("x", 129)}, http.StatusBadRequest, dotterrequest.ReasonBadRequest},
		"long key":         {"clearance/1", "", []string{dotterrequest.HeaderIdempotencyKey, strings.Repeat("x", 257)}, http.StatusBadRequest, dotterrequest.ReasonBadRequest},
		"large body":       {"clearance/1", strings.Repeat("x", 1<<20+1), nil, http.StatusRequestEntityTooLarge, dotterrequest.ReasonBodyTooLarge},
		"no server":        {"refresh/1", "", nil, http.StatusServiceUnavailable, dotterrequest.ReasonNoServer},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := f.call(t, http.MethodPost, tc.path, tc.body, tc.headers...)
			assert.Equal(t, tc.status, got.status, got.body)
			assert.Equal(t, dotteroutcome.NotRun, got.outcome)
			assert.Equal(t, tc.reason, got.reason(t))
			if tc.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}
