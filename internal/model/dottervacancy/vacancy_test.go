package dottervacancy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

func TestSlots(t *testing.T) {
	tests := map[string]struct {
		free  []dotterroom.Room // of each worker
		taken int               // tasks of the size placed since
		size  dotterroom.Room
		want  int
	}{
		"one empty worker":           {free: []dotterroom.Room{{MilliCores: 64_000, MemoryMB: 250_000}}, size: dotterroom.Room{MilliCores: 16_000}, want: 4},
		"crumbs do not add up":       {free: []dotterroom.Room{{MilliCores: 9000, MemoryMB: 250_000}, {MilliCores: 9000, MemoryMB: 250_000}}, size: dotterroom.Room{MilliCores: 12_000}},
		"memory is short":            {free: []dotterroom.Room{{MilliCores: 64_000, MemoryMB: 50_000}}, size: dotterroom.Room{MilliCores: 20_000}, want: 1},
		"overfilled worker":          {free: []dotterroom.Room{{MilliCores: -4000, MemoryMB: 250_000}}, size: dotterroom.Room{MilliCores: 1000}},
		"some were placed":           {free: []dotterroom.Room{{MilliCores: 64_000, MemoryMB: 250_000}}, taken: 1, size: dotterroom.Room{MilliCores: 16_000}, want: 3},
		"more were placed than fit":  {free: []dotterroom.Room{{MilliCores: 64_000, MemoryMB: 250_000}}, taken: 9, size: dotterroom.Room{MilliCores: 16_000}},
		"a task larger than workers": {free: []dotterroom.Room{{MilliCores: 64_000, MemoryMB: 250_000}}, size: dotterroom.Room{MilliCores: 65_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s Service
			for _, free := range tc.free {
				s.AddFree(free)
			}
			assert.Equal(t, tc.want, s.WithReserved(tc.taken, tc.size).SlotsFor(tc.size))
		})
	}
}
