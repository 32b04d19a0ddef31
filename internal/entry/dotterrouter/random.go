package dotterrouter

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Random chooses uniformly among the servers that have a free slot.
type Random struct {
	random *rand.Rand
}

var _ dotterelusher.Router = (*Random)(nil)

// NewRandom returns a router whose random generator is seeded with seed.
func NewRandom(seed uint64) *Random {
	return &Random{random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns a random candidate.
func (r *Random) Choose(_ dotterclock.Millis, candidates []dotterelusher.RouteCandidate, _ dotterclock.Millis) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	return r.random.IntN(len(candidates)), true
}

// RecordResult ignores the result.
func (r *Random) RecordResult(string, dotterelusher.RouteResult) {}

// Retain does nothing: a Random keeps no state about servers.
func (r *Random) Retain([]string) {}
