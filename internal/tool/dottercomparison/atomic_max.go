package dottercomparison

import "sync/atomic"

// atomicMax keeps the highest value observed; it is safe for concurrent use.
type atomicMax struct {
	max atomic.Int64
}

func (m *atomicMax) observe(value int) {
	for {
		highest := m.max.Load()
		if int64(value) <= highest || m.max.CompareAndSwap(highest, int64(value)) {
			return
		}
	}
}

func (m *atomicMax) value() int {
	return int(m.max.Load())
}
