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

func TestRestarts(t *testing.T) {
	worker := dotterroom.Room{MilliCores: 64_000, MemoryMB: 128_000}
	tests := map[string]struct {
		emptied []dotterroom.Room // of each worker
		taken   int               // lost tasks of the size that got room since
		size    dotterroom.Room
		want    int
	}{
		"room of ending tasks":                    {emptied: []dotterroom.Room{worker, worker}, size: dotterroom.Room{MilliCores: 20_000, MemoryMB: 40_000}, want: 6},
		"some got room":                           {emptied: []dotterroom.Room{worker, worker}, taken: 2, size: dotterroom.Room{MilliCores: 20_000, MemoryMB: 40_000}, want: 4},
		"more than find room":                     {emptied: []dotterroom.Room{worker}, taken: 9, size: dotterroom.Room{MilliCores: 20_000, MemoryMB: 40_000}},
		"room between two classes of quick tasks": {emptied: []dotterroom.Room{{MilliCores: 14_500, MemoryMB: 40_000}}, size: dotterroom.Room{MilliCores: 13_200, MemoryMB: 26_000}, want: 1},
		"much memory for its cores":               {emptied: []dotterroom.Room{worker}, size: dotterroom.Room{MilliCores: 8000, MemoryMB: 57_000}, want: 2},
		"a task larger than any":                  {emptied: []dotterroom.Room{worker}, size: dotterroom.Room{MilliCores: 65_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s Service
			for _, room := range tc.emptied {
				s.AddEmptied(room)
			}
			assert.Equal(t, tc.want, s.WithRestarts(tc.taken, tc.size).RestartsFor(tc.size))
			assert.Zero(t, s.SlotsFor(tc.size), "room of others is not free")
		})
	}
}
