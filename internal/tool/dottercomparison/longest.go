package dottercomparison

import "sync/atomic"

// longest keeps the highest value seen.
type longest struct {
	most atomic.Int64
}

func (l *longest) see(value int) {
	for {
		most := l.most.Load()
		if int64(value) <= most || l.most.CompareAndSwap(most, int64(value)) {
			return
		}
	}
}

func (l *longest) value() int {
	return int(l.most.Load())
}
