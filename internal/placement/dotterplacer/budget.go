package dotterplacer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// budget bounds evictions per time.
type budget struct {
	limiter *rate.Limiter
}

func newBudget(perMinute float64, burst int) *budget {
	return &budget{limiter: rate.NewLimiter(rate.Limit(perMinute/60), burst)}
}

// take takes count evictions out of the budget, or none if it has fewer.
func (b *budget) take(now dotterclock.Millis, count int) bool {
	return b.limiter.AllowN(time.UnixMilli(int64(now)), count)
}
