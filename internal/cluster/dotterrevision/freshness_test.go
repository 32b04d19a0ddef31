package dotterrevision

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

func TestFreshness(t *testing.T) {
	const now = 100 * dotterclock.Second
	others := []string{"b", "c"}
	tests := map[string]struct {
		prepare func(*freshness)
		others  []string
		current bool
		outage  bool
	}{
		"Nothing":      {prepare: func(*freshness) {}, others: others},
		"YoungProof":   {prepare: func(f *freshness) { f.proved(now - EvidenceLimit + 1) }, others: others, current: true},
		"OldProof":     {prepare: func(f *freshness) { f.proved(now - EvidenceLimit) }, others: others},
		"OlderProof":   {prepare: func(f *freshness) { f.proved(now); f.proved(1) }, others: others, current: true},
		"AllCantReach": {prepare: func(f *freshness) { f.failed(now); f.outage("b", now); f.outage("c", now) }, others: others, outage: true},
		"OneIsSilent":  {prepare: func(f *freshness) { f.failed(now); f.outage("b", now) }, others: others},
		"OneIsOld":     {prepare: func(f *freshness) { f.failed(now); f.outage("b", now); f.outage("c", now-EvidenceLimit) }, others: others},
		"ReachedStore": {prepare: func(f *freshness) { f.failed(now); f.reached(); f.outage("b", now); f.outage("c", now) }, others: others},
		"NoWitness":    {prepare: func(f *freshness) { f.failed(now) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var f freshness
			test.prepare(&f)
			require.Equal(t, test.current, f.current(now))
			require.Equal(t, test.outage, f.outageEverywhere(now, test.others))
		})
	}
}

// TestAgeGrowsAtEachRelay passes a proof on over three processes whose clocks
// differ, with delays on the way: it never looks younger than it is.
func TestAgeGrowsAtEachRelay(t *testing.T) {
	var origin, relay, last freshness
	const readAt = 10 * dotterclock.Second
	origin.proved(readAt)
	const ahead = 500 * dotterclock.Second // the relay's clock

	askedAt := readAt + 700
	told := origin.evidence(askedAt+100, 1) // the question took 100 ms
	require.EqualValues(t, 800, told.ProvedAge)
	relay.proved(askedAt + ahead - told.ProvedAge) // whenever the answer comes

	secondAskedAt := readAt + 2000
	told = relay.evidence(secondAskedAt+ahead, 1)
	require.GreaterOrEqual(t, told.ProvedAge, dotterclock.Millis(2000))
	last.proved(secondAskedAt - told.ProvedAge)
	require.LessOrEqual(t, last.provedAt, readAt)
	require.False(t, last.current(readAt+EvidenceLimit))
}
