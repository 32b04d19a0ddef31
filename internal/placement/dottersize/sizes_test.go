package dottersize_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dottersize"
)

func TestRoomIsTheLargerOfDeclaredAndLearned(t *testing.T) {
	tests := map[string]struct {
		peaks    []dotterroom.Room
		declared dotterroom.Room
		want     dotterroom.Room
	}{
		"nothing learned": {declared: dotterroom.Room{MilliCores: 5}, want: dotterroom.Room{MilliCores: 5}},
		"too little declared": {
			peaks:    []dotterroom.Room{{MilliCores: 4000, MemoryMB: 900}, {MilliCores: 4000, MemoryMB: 900}, {MilliCores: 4000, MemoryMB: 900}},
			declared: dotterroom.Room{MilliCores: 1000, MemoryMB: 300},
			want:     dotterroom.Room{MilliCores: 4000, MemoryMB: 900},
		},
		"too much declared": {
			peaks:    []dotterroom.Room{{MilliCores: 10}, {MilliCores: 10}, {MilliCores: 10}},
			declared: dotterroom.Room{MilliCores: 1000, MemoryMB: 300},
			want:     dotterroom.Room{MilliCores: 1000, MemoryMB: 300},
		},
		"too few samples": {
			peaks:    []dotterroom.Room{{MilliCores: 4000}},
			declared: dotterroom.Room{MilliCores: 1000},
			want:     dotterroom.Room{MilliCores: 1000},
		},
		"accelerators at once": {
			peaks:    []dotterroom.Room{{Accelerators: 2}},
			declared: dotterroom.Room{Accelerators: 1},
			want:     dotterroom.Room{Accelerators: 2},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := dottersize.New(0)
			for _, p := range tc.peaks {
				s.AddPeak("a", p)
			}
			assert.Equal(t, tc.want, s.Room("a", tc.declared))
		})
	}
}

func TestRunTimeFollowsRecentRuns(t *testing.T) {
	s := dottersize.New(0)
	assert.Equal(t, dotterclock.Second, s.RunTime("a", dotterclock.Second))
	for range 300 {
		s.AddRunTime("a", 1000*dotterclock.Second)
	}
	assert.InDelta(t, 1000, s.RunTime("a", 1).Seconds(), 70)
	for range 200 {
		s.AddRunTime("a", 10*dotterclock.Second)
	}
	assert.InDelta(t, 10, s.RunTime("a", 1).Seconds(), 1)
}

func TestSizesAreBoundedAndKeepTemplatesInUse(t *testing.T) {
	s := dottersize.New(8)
	for range 3 {
		s.AddRunTime("busy", 50)
	}
	for i := range 100 {
		s.AddRunTime("busy", 50)
		s.AddRunTime(fmt.Sprintf("t%d", i), 70)
		assert.Equal(t, dotterclock.Millis(50), s.RunTime("busy", 1))
	}
	assert.Equal(t, dotterclock.Millis(1), s.RunTime("t0", 1))
}
