package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, as the settings give them.
const (
	valueBytes   = 1048576
	historyS     = 20
	maxTxn       = 32
	pageItems    = 500
	pageBytes    = 1 << 20
	storeLatency = 4 * time.Millisecond
)

type storeItem struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64 `json:",omitempty"`
	Deleted  bool  `json:",omitempty"`
	at       time.Time
}

// store is the platform's metadata store.
type store struct {
	rec      *record
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	dropped  int64 // newest revision that the history does not have any more
	changed  chan struct{}
	refused  int // transactions refused because a value was too large
}

func newStore(rec *record) *store {
	return &store{rec: rec, revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a key without a condition, as the operator and the minions do.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
	s.announce()
}

// get returns the value of a key.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// count returns the number of keys with the prefix.
func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

// refusals returns how many transactions were refused because a value was too large.
func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// announce wakes the watches and forgets what is older than the history.
func (s *store) announce() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyS*time.Second {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("Key")]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, i)
	case "/api/kv-range":
		s.list(w, q.Get("Prefix"), q.Get("After"))
	case "/api/kv-watch":
		after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
		s.watch(w, r, q.Get("Prefix"), after, time.Duration(wait)*time.Millisecond)
	case "/api/kv-txn":
		s.commit(w, r)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var found []storeItem
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	page := []storeItem{}
	size := 0
	for _, i := range found {
		if len(page) > 0 && (len(page) == pageItems || size+len(i.Value) > pageBytes) {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": page, "HasMore": len(page) < len(found), "StoreRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-changed:
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string
			Revision int64
		}
		Puts   []storeItem
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if len(t.Expect)+len(t.Puts)+len(t.Remove) > maxTxn {
		s.rec.note("store", "a transaction of %d entries is refused (400)", len(t.Expect)+len(t.Puts)+len(t.Remove))
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range t.Puts {
		if len(p.Value) > valueBytes {
			s.mu.Lock()
			s.refused++
			n := s.refused
			s.mu.Unlock()
			if n <= 5 || n%100 == 0 {
				s.rec.note("store", "transaction refused (400): the value of %s has %d bytes, at most %d are allowed (refusal %d)", p.Key, len(p.Value), valueBytes, n)
			}
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeItem
	held := true
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i = storeItem{Key: e.Key}
		}
		current = append(current, i)
		held = held && i.Revision == e.Revision
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.announce()
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
