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
		"Nothing":               {prepare: func(*freshness) {}, others: others},
		"RecentProof":           {prepare: func(f *freshness) { f.recordProof(now - MaxEvidenceAge + 1) }, others: others, current: true},
		"ExpiredProof":          {prepare: func(f *freshness) { f.recordProof(now - MaxEvidenceAge) }, others: others},
		"OlderProof":            {prepare: func(f *freshness) { f.recordProof(now); f.recordProof(1) }, others: others, current: true},
		"UnreachableEverywhere": {prepare: func(f *freshness) { f.recordReadFailure(now); f.recordOutage("b", now); f.recordOutage("c", now) }, others: others, outage: true},
		"OneDomainSilent":       {prepare: func(f *freshness) { f.recordReadFailure(now); f.recordOutage("b", now) }, others: others},
		"OneReportExpired": {prepare: func(f *freshness) {
			f.recordReadFailure(now)
			f.recordOutage("b", now)
			f.recordOutage("c", now-MaxEvidenceAge)
		}, others: others},
		"ReachedStore": {prepare: func(f *freshness) {
			f.recordReadFailure(now)
			f.recordReadSuccess()
			f.recordOutage("b", now)
			f.recordOutage("c", now)
		}, others: others},
		"NoOtherDomain": {prepare: func(f *freshness) { f.recordReadFailure(now) }},
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

// TestProofNeverLooksYoungerAfterRelay passes a proof through three processes whose
// clocks differ, with delays in transit. Its age must never be underestimated.
func TestProofNeverLooksYoungerAfterRelay(t *testing.T) {
	var origin, relay, last freshness
	const readAt = 10 * dotterclock.Second
	origin.recordProof(readAt)
	const ahead = 500 * dotterclock.Second // offset of the relay's clock

	askedAt := readAt + 700
	evidence := origin.evidence(askedAt+100, 1) // the request took 100 ms
	require.EqualValues(t, 800, evidence.ProvedAge)
	relay.recordProof(askedAt + ahead - evidence.ProvedAge) // independent of when the answer arrives

	secondAskedAt := readAt + 2000
	evidence = relay.evidence(secondAskedAt+ahead, 1)
	require.GreaterOrEqual(t, evidence.ProvedAge, dotterclock.Millis(2000))
	last.recordProof(secondAskedAt - evidence.ProvedAge)
	require.LessOrEqual(t, last.provedAt, readAt)
	require.False(t, last.current(readAt+MaxEvidenceAge))
}
