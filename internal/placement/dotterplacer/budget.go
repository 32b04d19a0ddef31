package dotterplacer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// budget limits the rate of evictions.
type budget struct {
	limiter *rate.Limiter
}

func newBudget(perMinute float64, burst int) *budget {
	return &budget{limiter: rate.NewLimiter(rate.Limit(perMinute/60), burst)}
}

// take takes count evictions from the budget and reports whether it had that
// many; otherwise it takes none.
func (b *budget) take(now dotterclock.Millis, count int) bool {
	return b.limiter.AllowN(time.UnixMilli(int64(now)), count)
}
