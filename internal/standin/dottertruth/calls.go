package dottertruth

// Calls counts the calls to the store.
type Calls struct {
	ByKind   map[string]int            // Get, List, Put, Delete, Watch, Grant, Renew, Revoke
	ByClient map[string]map[string]int // keyed by entry host, then by kind
	BytesIn  int64
	BytesOut int64
}

func newCalls() Calls {
	return Calls{ByKind: map[string]int{}, ByClient: map[string]map[string]int{}}
}
