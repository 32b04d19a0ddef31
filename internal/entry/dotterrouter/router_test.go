package dotterrouter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func candidates(inFlight ...int) []dotterelusher.RouteCandidate {
	list := make([]dotterelusher.RouteCandidate, len(inFlight))
	for i, n := range inFlight {
		list[i] = dotterelusher.RouteCandidate{Server: name(i), Slots: 8, InFlight: n}
	}
	return list
}

func name(i int) string {
	return fmt.Sprintf("b%d", i)
}

// recordLatencies records count results per server, with the latency of its index.
func recordLatencies(p *PowerOfTwo, at dotterclock.Millis, count int, latencies ...dotterclock.Millis) {
	for range count {
		for i, l := range latencies {
			p.RecordResult(name(i), dotterelusher.RouteResult{At: at, Latency: l})
		}
	}
}

// countChoices calls Choose count times and returns how often each candidate was
// chosen.
func countChoices(p *PowerOfTwo, now dotterclock.Millis, list []dotterelusher.RouteCandidate, count int) map[int]int {
	chosen := make(map[int]int)
	for range count {
		i, ok := p.Choose(now, list, 0)
		if ok {
			chosen[i]++
		}
	}
	return chosen
}

func TestSlowServerIsEjectedAndRecovers(t *testing.T) {
	p := NewPowerOfTwo(1)
	recordLatencies(p, 0, 20, 10, 10, 10, 100)
	assert.True(t, p.Ejected("b3"))
	assert.Zero(t, countChoices(p, 0, candidates(0, 0, 0, 0), 1000)[3])

	probationStart := minEjection
	i, ok := p.Choose(probationStart, candidates(0, 0, 0, 0), 0)
	require.True(t, ok)
	assert.Equal(t, 3, i, "a probe goes to the server on probation")
	assert.Zero(t, countChoices(p, probationStart, candidates(0, 0, 0, 1), 1000)[3], "one probe at a time")
	for range successesToRecover - 1 {
		p.RecordResult("b3", dotterelusher.RouteResult{At: probationStart, Latency: 10})
		i, _ = p.Choose(probationStart, candidates(0, 0, 0, 0), 0)
		assert.Equal(t, 3, i, "the next probe follows a successful one at once")
	}
	p.RecordResult("b3", dotterelusher.RouteResult{At: probationStart, Latency: 10})
	assert.False(t, p.Ejected("b3"))
	assert.NotZero(t, countChoices(p, probationStart, candidates(0, 0, 0, 0), 1000)[3])
}

func TestEjection(t *testing.T) {
	tests := map[string]struct {
		result  dotterelusher.RouteResult
		count   int
		ejected bool
	}{
		"unreachable once":  {dotterelusher.RouteResult{Failed: true, Unreachable: true}, 1, true},
		"one failure":       {dotterelusher.RouteResult{Failed: true}, 1, false},
		"failures in a row": {dotterelusher.RouteResult{Failed: true}, failuresToEject, true},
		"a little slower":   {dotterelusher.RouteResult{Latency: 20}, 100, false},
		"much slower":       {dotterelusher.RouteResult{Latency: 50}, 100, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPowerOfTwo(1)
			recordLatencies(p, 0, 20, 10, 10, 10)
			for range tc.count {
				p.RecordResult("b0", tc.result)
			}
			assert.Equal(t, tc.ejected, p.Ejected("b0"))
		})
	}
}

func TestWaitingIsPreferredToASlowerServer(t *testing.T) {
	p := NewPowerOfTwo(1)
	recordLatencies(p, 0, 20, 10, 10, 10, 100)
	onlySlow := candidates(0, 0, 0, 1)[3:]
	_, ok := p.Choose(0, onlySlow, 5)
	assert.False(t, ok, "a healthy server is expected to respond sooner, the wait included")
	_, ok = p.Choose(0, onlySlow, 500)
	assert.True(t, ok, "the slow server is expected to respond sooner")
}

func TestServersThatAllFailAreStillUsed(t *testing.T) {
	p := NewPowerOfTwo(1)
	for i := range 3 {
		p.RecordResult(name(i), dotterelusher.RouteResult{Failed: true, Unreachable: true})
	}
	_, ok := p.Choose(0, candidates(1, 1, 1), 0)
	assert.True(t, ok)
}

// TestChoiceIsNeverTheMostExpensive checks a consequence of the policy: the cheaper
// of two different random servers is chosen, so the one server with the highest
// cost never is.
func TestChoiceIsNeverTheMostExpensive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 9).Draw(t, "servers")
		p := NewPowerOfTwo(rapid.Uint64().Draw(t, "seed"))
		loads := make([]int, count)
		for i := range loads {
			loads[i] = rapid.IntRange(0, 7).Draw(t, "load")
			latency := rapid.Int64Range(8, 12).Draw(t, "latency")
			p.RecordResult(name(i), dotterelusher.RouteResult{Latency: dotterclock.Millis(latency)})
		}
		list := candidates(loads...)
		chosen, ok := p.Choose(0, list, 0)
		require.True(t, ok)
		for i, c := range list {
			if i != chosen && p.cost(c) >= p.cost(list[chosen]) {
				return
			}
		}
		t.Fatalf("server %d has the highest cost", chosen)
	})
}

func TestBaselineRouters(t *testing.T) {
	r := NewRoundRobin()
	var order []int
	for range 6 {
		i, ok := r.Choose(0, candidates(0, 0, 0), 0)
		require.True(t, ok)
		order = append(order, i)
	}
	assert.Equal(t, []int{0, 1, 2, 0, 1, 2}, order)
	for name, router := range map[string]dotterelusher.Router{"round robin": r, "random": NewRandom(1), "power of two": NewPowerOfTwo(1)} {
		_, ok := router.Choose(0, nil, 0)
		assert.False(t, ok, name)
	}
}
