package dotterproxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
)

// BenchmarkServe measures ServeHTTP with a backend server on a real connection. The
// callers use a recorder instead of a connection.
func BenchmarkServe(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	proxy, err := New(Options{
		FailureDomain: localDomain,
		Configuration: dotterfake.NewConfiguration(document()),
		Directory:     dotterfake.NewDirectory(backendHost("b1", strings.TrimPrefix(server.URL, "http://"), "clearance")),
		Permits:       dotterfake.NewPermits(64, 64),
		Peers:         dotterfake.NewPeers(),
		Claims:        dotterfake.NewClaims(),
		Clock:         dotterclock.NewSystem(),
		Limits:        DefaultLimits(),
		Registerer:    prometheus.NewRegistry(),
		Log:           zap.NewNop(),
	})
	require.NoError(b, err)
	defer proxy.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request := httptest.NewRequest(http.MethodPost, "/v1/services/clearance/1", strings.NewReader("transfer"))
			recorder := httptest.NewRecorder()
			proxy.ServeHTTP(recorder, request)
			if recorder.Code != http.StatusOK {
				b.Fatal(recorder.Body.String())
			}
		}
	})
}
