package dotterplacer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

func TestAdmitNamesTheComponentThatNoWorkerHas(t *testing.T) {
	workers := []dotterplan.Worker{
		{Host: dotterhost.Host{Capacity: dotterroom.Room{MilliCores: 8000, MemoryMB: 100}}},
		{Host: dotterhost.Host{Capacity: dotterroom.Room{MilliCores: 4000, MemoryMB: 900}}},
	}
	tests := map[string]struct {
		size   dotterroom.Room
		reason string
	}{
		"fits":         {size: dotterroom.Room{MilliCores: 8000, MemoryMB: 100}},
		"cores":        {size: dotterroom.Room{MilliCores: 9000}, reason: "MilliCores: asks for 9000, the largest worker has 8000"},
		"memory":       {size: dotterroom.Room{MemoryMB: 901}, reason: "MemoryMB: asks for 901, the largest worker has 900"},
		"accelerators": {size: dotterroom.Room{Accelerators: 1}, reason: "Accelerators: asks for 1, the largest worker has 0"},
		"combination": {
			size:   dotterroom.Room{MilliCores: 8000, MemoryMB: 900},
			reason: "Size: no single worker has 8000m/900MB/0a, though each component is on some worker",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Options{})
			assert.Equal(t, tc.reason, p.Admit(dottertask.Task{Size: tc.size}, workers))
		})
	}
}
