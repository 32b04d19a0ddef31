package dottertruth

import (
	"maps"
	"sync"
)

// callRecords counts the calls that the store receives.
type callRecords struct {
	mu    sync.Mutex
	calls Calls
}

func newCallRecords() *callRecords {
	return &callRecords{calls: newCalls()}
}

// RecordCall records one call to the store, with the sizes of its request and answer bodies.
func (t *callRecords) RecordCall(client, kind string, in, out int64) {
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
