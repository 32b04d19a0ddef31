package dotterstandbackend

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrService reports an invalid service description.
var ErrService = eris.New("backend: invalid service, want NAME=fixed:MS or NAME=exponential:MS")

// Service is a service and the distribution of its service times.
type Service struct {
	Name        string
	Exponential bool
	MeanMillis  float64

	mu     sync.Mutex
	random *rand.Rand
}

// ParseService parses NAME=fixed:MS or NAME=exponential:MS. The seed determines
// the sequence of exponential service times.
func ParseService(text string, seed uint64) (*Service, error) {
	name, rest, named := strings.Cut(text, "=")
	kind, millis, timed := strings.Cut(rest, ":")
	mean, err := strconv.ParseFloat(millis, 64)
	known := kind == "fixed" || kind == "exponential"
	if !named || !timed || !known || err != nil || name == "" || mean < 0 {
		return nil, eris.Wrap(ErrService, text)
	}
	return &Service{
		Name:        name,
		Exponential: kind == "exponential",
		MeanMillis:  mean,
		random:      rand.New(rand.NewPCG(seed, 2)),
	}, nil
}

// ServiceTime returns the service time of one request, multiplied by factor.
func (s *Service) ServiceTime(factor float64) time.Duration {
	millis := s.MeanMillis * factor
	if s.Exponential {
		s.mu.Lock()
		millis *= s.random.ExpFloat64()
		s.mu.Unlock()
	}
	return time.Duration(millis * float64(time.Millisecond))
}
