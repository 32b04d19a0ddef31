package dottersize

import (
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// DefaultLimit is the number of templates that a Sizes keeps at most.
	DefaultLimit = 512

	roomPercentile = 95
	runPercentile  = 50

	// minSamples is the number of ended attempts from which a template's size is used.
	minSamples = 3

	maxMilliCores = 1_000_000              // thousandths of a core
	maxMemoryMB   = 4_000_000              // megabytes
	maxRunMillis  = 14 * 24 * 3600 * 1_000 // milliseconds
)

// Sizes is the learned sizes and run times by template, safe for concurrent use.
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

// AddPeak takes in the most that an attempt of the template called name used.
func (s *Sizes) AddPeak(name string, peak dotterroom.Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreate(name).addPeak(peak)
}

// AddRunTime takes in how long an attempt of the template called name ran to its end.
func (s *Sizes) AddRunTime(name string, runTime dotterclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getOrCreate(name).addRunTime(runTime)
}

// Room returns the room to hold for a task of the template called name: the
// larger of declared and learned.
func (s *Sizes) Room(name string, declared dotterroom.Room) dotterroom.Room {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.templates[name]
	if !ok {
		return declared
	}
	return declared.Max(t.room)
}

// RunTime returns the run time to expect of a task of the template called name:
// learned, or declared while too little is known.
func (s *Sizes) RunTime(name string, declared dotterclock.Millis) dotterclock.Millis {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.templates[name]
	if !ok || t.runTime == 0 {
		return declared
	}
	return t.runTime
}

// getOrCreate returns the template called name, making it in place of one that was
// not touched lately when there are too many.
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

// nextEvictable returns a position not touched since the hand passed it last.
func (s *Sizes) nextEvictable() int {
	for s.templates[s.names[s.clockHand]].referenced {
		s.templates[s.names[s.clockHand]].referenced = false
		s.clockHand = (s.clockHand + 1) % len(s.names)
	}
	position := s.clockHand
	s.clockHand = (s.clockHand + 1) % len(s.names)
	return position
}
