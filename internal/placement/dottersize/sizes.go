package dottersize

import (
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// DefaultLimit is the default for the largest number of templates in a
	// Sizes.
	DefaultLimit = 512

	roomPercentile = 95
	runPercentile  = 50

	// minSamples is the number of ended attempts from which learned values are
	// used.
	minSamples = 3

	maxMilliCores = 1_000_000
	maxMemoryMB   = 4_000_000
	maxRunMillis  = 14 * 24 * 3600 * 1_000 // 14 days
)

// Sizes holds the learned sizes and run times by template. It is safe for
// concurrent use.
type Sizes struct {
	mu        sync.RWMutex
	limit     int
	templates map[string]*template
	names     []string
	clockHand int
}

// New returns a Sizes that keeps at most limit templates; 0 means DefaultLimit.
func New(limit int) *Sizes {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Sizes{limit: limit, templates: make(map[string]*template)}
}

// AddPeak records the peak use of an attempt of the named template.
func (s *Sizes) AddPeak(name string, peak dotterroom.Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreate(name).addPeak(peak)
}

// AddRunTime records the run time of a complete run of the named template.
func (s *Sizes) AddRunTime(name string, runTime dotterclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreate(name).addRunTime(runTime)
}

// Room returns the room to hold for a task of the named template: the larger of
// the declared and the learned size, by component.
func (s *Sizes) Room(name string, declared dotterroom.Room) dotterroom.Room {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.templates[name]
	if !ok {
		return declared
	}
	return declared.Max(t.room)
}

// RunTime returns the expected run time of a task of the named template: the
// learned one, or declared if there are fewer than minSamples.
func (s *Sizes) RunTime(name string, declared dotterclock.Millis) dotterclock.Millis {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.templates[name]
	if !ok || t.runTime == 0 {
		return declared
	}
	return t.runTime
}

// getOrCreate returns the named template. If it is unknown, it is added, in
// place of another one if the limit is reached.
func (s *Sizes) getOrCreate(name string) *template {
	t, ok := s.templates[name]
	if ok {
		t.referenced = true
		return t
	}
	t = newTemplate()
	s.templates[name] = t
	if len(s.names) < s.limit {
		s.names = append(s.names, name)
		return t
	}
	position := s.nextEvictable()
	delete(s.templates, s.names[position])
	s.names[position] = name
	return t
}

// nextEvictable advances the clock hand to a template that was not referenced
// since the hand last passed it, and returns its position in names.
func (s *Sizes) nextEvictable() int {
	for s.templates[s.names[s.clockHand]].referenced {
		s.templates[s.names[s.clockHand]].referenced = false
		s.clockHand = (s.clockHand + 1) % len(s.names)
	}
	position := s.clockHand
	s.clockHand = (s.clockHand + 1) % len(s.names)
	return position
}
