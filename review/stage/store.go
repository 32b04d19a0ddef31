package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store as its answers show it.
type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
}

// event is a change in the store's history.
type event struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64 `json:",omitempty"`
	Deleted  bool  `json:",omitempty"`
}

// answerTime is how long the store takes for an answer, as the users' pages give it.
const answerTime = 4 * time.Millisecond

// store is a stand-in for the platform's metadata store. Each node calls it at an address of its own.
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	revision int64
	items    map[string]item
	history  []event
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 100, items: map[string]item{}}
}

// listen serves the store on a free port of ip and returns the address.
func (s *store) listen(ip string, trouble func() string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(mux, trouble, w, r) })
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

// serve passes a node's call on, unless trouble names what happens to it.
func (s *store) serve(mux *http.ServeMux, trouble func() string, w http.ResponseWriter, r *http.Request) {
	write := r.Method == http.MethodPost
	switch how := trouble(); {
	case how == "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case how == "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case how == "many":
		w.WriteHeader(http.StatusTooManyRequests)
	case how == "reset":
		panic(http.ErrAbortHandler)
	case how == "lost" && write:
		mux.ServeHTTP(discard{}, r)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case how == "late" && write:
		body, _ := io.ReadAll(r.Body)
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(time.Duration(1000+rand.Intn(5000))*time.Millisecond, func() { mux.ServeHTTP(discard{}, late) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		mux.ServeHTTP(w, r)
	}
}

func (s *store) apply(e event) {
	s.history = append(s.history, e)
	if e.Deleted {
		delete(s.items, e.Key)
		return
	}
	s.items[e.Key] = item{Key: e.Key, Value: e.Value, Revision: e.Revision, Created: e.Created, Lease: e.Lease}
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a minion, and returns once that is acknowledged.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.apply(event{Key: key, Value: raw, Revision: s.revision, Created: created})
	s.signal()
}

// remove deletes a key for the operator or a minion.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.apply(event{Key: key, Revision: s.revision, Deleted: true})
	s.signal()
}

// value decodes a key, and reports whether there is one.
func (s *store) value(key string, into any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return ok && json.Unmarshal(i.Value, into) == nil
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64
	}{i, revision})
}

// pageItems is the most items of one page.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "HasMore": more, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, q.Get("Prefix")) {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string
			Revision int64
		}
		Puts   []item
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		holds = holds && i.Revision == e.Revision
		current = append(current, i)
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		created := s.revision
		if old, ok := s.items[p.Key]; ok {
			created = old.Created
		}
		s.apply(event{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(event{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.signal()
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may have gone
}
