package dotterproxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// FuzzDecodeHeaders checks that a request with accepted headers has a deadline
// within the limits and a printable key, and that headers can't make a request
// repeatable whose template is not.
func FuzzDecodeHeaders(f *testing.F) {
	f.Add("250", "false", "transfer-17", false)
	f.Add("", "", "", true)
	f.Add("-1", "TRUE", "a b", true)
	f.Add("99999999999999999999", "true", "\x00", false)
	f.Fuzz(func(t *testing.T, timeout, repeatable, key string, allowed bool) {
		limits := DefaultLimits()
		p := &Proxy{options: Options{Limits: limits}}
		template := dotterconfig.Template{TimeoutMillis: 500, Repeatable: allowed}
		header := http.Header{}
		header.Set(dotterrequest.HeaderTimeout, timeout)
		header.Set(dotterrequest.HeaderRepeatable, repeatable)
		arrived := dotterrequest.Request{Template: template, Repeatable: allowed, Key: key, Arrived: 1000}
		request, refusal := p.decodeHeaders(header, arrived)
		if refusal != nil {
			return
		}
		assert.Greater(t, request.Deadline, request.Arrived)
		assert.LessOrEqual(t, request.Deadline, request.Arrived+limits.LongestTimeoutMillis)
		assert.True(t, allowed || !request.Repeatable)
		assert.True(t, printable(request.Key, maxKeyBytes))
	})
}
