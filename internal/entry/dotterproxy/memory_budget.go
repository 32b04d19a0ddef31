package dotterproxy

import "sync/atomic"

// memoryBudget limits the total size of the request bodies held in memory.
type memoryBudget struct {
	limit int64        // bytes
	used  atomic.Int64 // bytes
}

// reserve reserves size bytes, or returns false if that would exceed the limit.
func (m *memoryBudget) reserve(size int64) bool {
	if m.used.Add(size) > m.limit {
		m.used.Add(-size)
		return false
	}
	return true
}

// release returns size reserved bytes to the budget.
func (m *memoryBudget) release(size int64) {
	m.used.Add(-size)
}
