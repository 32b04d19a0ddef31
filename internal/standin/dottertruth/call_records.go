package dottertruth

import (
	"maps"
	"sync"
)

// callRecords is what the store was asked.
type callRecords struct {
	mu    sync.Mutex
	calls Calls
}

func newCallRecords() *callRecords {
	return &callRecords{calls: newCalls()}
}

// Call records one call of the store.
func (t *callRecords) Call(client, kind string, in, out int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.ByKind[kind]++
	if t.calls.ByClient[client] == nil {
		t.calls.ByClient[client] = map[string]int{}
	}
	t.calls.ByClient[client][kind]++
	t.calls.BytesIn += in
	t.calls.BytesOut += out
}

func (t *callRecords) copyTo(truth *Truth) {
	t.mu.Lock()
	defer t.mu.Unlock()
	truth.Store = t.calls
	truth.Store.ByKind = maps.Clone(t.calls.ByKind)
	truth.Store.ByClient = map[string]map[string]int{}
	for c, kinds := range t.calls.ByClient {
		truth.Store.ByClient[c] = maps.Clone(kinds)
	}
}

func (t *callRecords) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = newCalls()
}
