package dotterplacer

import (
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Admit returns the reason why no worker of the pool could ever hold task, or
// "" if one could. Without workers their capacities are unknown, and every task
// is admitted.
func (p *Placer) Admit(task dottertask.Task, workers []dotterplan.Worker) string {
	if len(workers) == 0 {
		return ""
	}
	var largest dotterroom.Room
	for _, w := range workers {
		if task.Size.Fits(w.Host.Capacity) {
			return ""
		}
		largest = largest.Max(w.Host.Capacity)
	}
	return unmetRequirement(task.Size, largest)
}

// unmetRequirement returns a message that names the component of size that no
// worker can provide. Each component of largest is the largest capacity of any
// worker.
func unmetRequirement(size, largest dotterroom.Room) string {
	switch {
	case size.MilliCores > largest.MilliCores:
		return fmt.Sprintf("MilliCores: asks for %d, the largest worker has %d", size.MilliCores, largest.MilliCores)
	case size.MemoryMB > largest.MemoryMB:
		return fmt.Sprintf("MemoryMB: asks for %d, the largest worker has %d", size.MemoryMB, largest.MemoryMB)
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("Accelerators: asks for %d, the largest worker has %d", size.Accelerators, largest.Accelerators)
	}
	return fmt.Sprintf("Size: no single worker has %s, though each component is on some worker", size)
}
