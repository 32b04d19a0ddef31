package dotterplatform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterstore"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
)

// unlimited returns client limits high enough not to throttle a benchmark.
func unlimited() dotterstore.Limits {
	limits := dotterstore.DefaultLimits()
	limits.ReadsPerSecond = 1e9
	limits.WritesPerSecond = 1e9
	return limits
}

func openBench(b *testing.B) *Platform {
	b.Helper()
	p, err := Open(Options{
		FailureDomains: []string{"a"}, Services: []string{"echo=fixed:0"}, Backends: 4, Slots: 64, Connections: 64,
		Listen: "127.0.0.1:0", Seed: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(p.Close)
	return p
}

func BenchmarkStorePut(b *testing.B) {
	p := openBench(b)
	value := []byte(strings.Repeat("x", 4096))
	var clients atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		key := fmt.Sprintf("key-%d", clients.Add(1))
		client := dotterstore.New(p.endpoint.Address(), "bench", unlimited(), dotterclock.NewSystem())
		defer client.Close()
		var version dotterkey.Version
		for pb.Next() {
			var err error
			if version, err = client.Put(context.Background(), key, value, version, ""); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkStoreGet(b *testing.B) {
	p := openBench(b)
	writer := dotterstore.New(p.endpoint.Address(), "bench", unlimited(), dotterclock.NewSystem())
	if _, err := writer.Put(context.Background(), "key", []byte(strings.Repeat("x", 4096)), 0, ""); err != nil {
		b.Fatal(err)
	}
	b.RunParallel(func(pb *testing.PB) {
		client := dotterstore.New(p.endpoint.Address(), "bench", unlimited(), dotterclock.NewSystem())
		defer client.Close()
		for pb.Next() {
			if _, err := client.Get(context.Background(), "key"); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkBackends(b *testing.B) {
	p := openBench(b)
	var clients atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		number := clients.Add(1)
		client := dotterwire.NewClient()
		defer client.CloseIdleConnections()
		url := "http://" + p.backends[int(number)%len(p.backends)].Host().Address + "/"
		for pb.Next() {
			response, err := client.Post(url, "text/plain", strings.NewReader("question"))
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Error(response.Status)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
