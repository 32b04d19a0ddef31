package dotterproxy

import "sync/atomic"

// memory bounds the bytes that bodies take.
type memory struct {
	bound int64
	used  atomic.Int64
}

// take reserves size bytes, or reports that there is no room.
func (m *memory) take(size int64) bool {
	if m.used.Add(size) > m.bound {
		m.used.Add(-size)
		return false
	}
	return true
}

// give returns size bytes.
func (m *memory) give(size int64) {
	m.used.Add(-size)
}
