package dotterproxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
)

const (
	localDomain  = "Valparaiso-A"
	remoteDomain = "Valparaiso-B"
	waitTimeout  = 30 * time.Second
)

// fixture is a proxy under test with the fakes of its dependencies.
type fixture struct {
	proxy         *Proxy
	server        *httptest.Server
	configuration *dotterfake.Configuration
	directory     *dotterfake.Directory
	permits       *dotterfake.Permits
	peers         *dotterfake.Peers
	claims        *dotterfake.Claims
}

func document() dotterconfig.Document {
	return dotterconfig.Document{
		Revision: 7,
		Templates: []dotterconfig.Template{
			{Name: "refresh", Team: "council", Kind: dotterconfig.KindService, Repeatable: true, TimeoutMillis: 5000},
			{Name: "clearance", Team: "brokers", Kind: dotterconfig.KindService, TimeoutMillis: 5000},
			{Name: "hedged", Team: "council", Kind: dotterconfig.KindService, Repeatable: true, Hedge: true, TimeoutMillis: 5000},
			{Name: "allowed", Team: "brokers", Kind: dotterconfig.KindService, KeyedOutage: dotterconfig.RuleAllow, TimeoutMillis: 5000},
			{Name: "reweighting", Team: "survey", Kind: dotterconfig.KindTask},
		},
		FailureDomains: []dotterconfig.FailureDomain{{Name: localDomain}, {Name: remoteDomain}},
	}
}

func backendHost(name, address, service string) dotterhost.Host {
	return dotterhost.Host{
		Name: name, Address: address, FailureDomain: localDomain, Role: dotterhost.RoleBackend,
		State: dotterhost.StateLive, Service: service, Slots: 8, Connections: 64,
	}
}

// startProxy starts a proxy with fake dependencies and an HTTP server for it, and
// closes both at the end of the test. The options are passed to change, if any,
// before the proxy is created.
func startProxy(t *testing.T, change func(*Options), hosts ...dotterhost.Host) *fixture {
	t.Helper()
	f := &fixture{
		configuration: dotterfake.NewConfiguration(document()),
		directory:     dotterfake.NewDirectory(hosts...),
		permits:       dotterfake.NewPermits(8, 64),
		peers:         dotterfake.NewPeers(),
		claims:        dotterfake.NewClaims(),
	}
	options := Options{
		FailureDomain: localDomain,
		Configuration: f.configuration,
		Directory:     f.directory,
		Permits:       f.permits,
		Peers:         f.peers,
		Claims:        f.claims,
		Clock:         dotterclock.NewSystem(),
		Limits:        DefaultLimits(),
		Connections:   dotterconnection.Settings{LateAnswerMillis: 1000},
		Registerer:    prometheus.NewRegistry(),
		Log:           zap.NewNop(),
	}
	if change != nil {
		change(&options)
	}
	proxy, err := New(options)
	require.NoError(t, err)
	f.proxy = proxy
	f.server = httptest.NewServer(proxy)
	t.Cleanup(func() {
		f.server.Close()
		require.NoError(t, proxy.Drain(context.Background()))
		require.NoError(t, proxy.Close())
	})
	return f
}

// answer is a response as received by a caller.
type answer struct {
	status  int
	outcome dotteroutcome.Outcome
	header  http.Header
	body    string
	err     error // from reading the body
}

// reason returns the reason in the ErrorBody.
func (a answer) reason(t *testing.T) dotterrequest.Reason {
	t.Helper()
	var body ErrorBody
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	return body.Reason
}

// call sends a request to the proxy. The headers are pairs of a name and a value.
func (f *fixture) call(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	request, err := http.NewRequest(method, f.server.URL+"/v1/services/"+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return answer{
		status:  response.StatusCode,
		outcome: dotteroutcome.Outcome(response.Header.Get(dotteroutcome.Header)),
		header:  response.Header,
		body:    string(got),
		err:     err,
	}
}

// startBackend serves handler on a free port and returns its address.
func startBackend(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
