package dotterplacer

import (
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Admit returns why task can never run on any of the pool's worker shapes, or "".
// Without workers nothing is known of the shapes, and every task is admitted.
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

// unmetRequirement names the component of size that no worker has, where largest holds
// each component's largest.
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
