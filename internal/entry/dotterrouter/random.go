package dotterrouter

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Random chooses any server that has a free slot.
type Random struct {
	random *rand.Rand
}

var _ dotterelusher.Router = (*Random)(nil)

// NewRandom returns a router whose choices follow from seed.
func NewRandom(seed uint64) *Random {
	return &Random{random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns any candidate.
func (r *Random) Choose(_ dotterclock.Millis, candidates []dotterelusher.RouteCandidate, _ dotterclock.Millis) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	return r.random.IntN(len(candidates)), true
}

// Ended does nothing.
func (r *Random) Ended(string, dotterelusher.RouteResult) {}

// Retain does nothing.
func (r *Random) Retain([]string) {}
