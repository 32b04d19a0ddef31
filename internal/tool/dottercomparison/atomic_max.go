package dottercomparison

import "sync/atomic"

// atomicMax keeps the highest value observed; it is safe for concurrent use.
type atomicMax struct {
	highest atomic.Int64
}

func (m *atomicMax) observe(value int) {
	for {
		current := m.highest.Load()
		if int64(value) <= current || m.highest.CompareAndSwap(current, int64(value)) {
			return
		}
	}
}

func (m *atomicMax) value() int {
	return int(m.highest.Load())
}
