package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
}

// event is a change of a key.
type event struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

// store stands in for the platform's store. Each node has an address of its own, so that it can be cut off alone.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]*item
	history []event
	changed chan struct{}
	faults  map[string]*storeFault // by node
}

// storeFault is what the store does to the calls of one node.
type storeFault struct {
	mode string        // "": serve, "silent": no answer, "busy": 503, "reset": close
	lost float64       // share of the writes that are done and not answered
	late bool          // the lost writes are done 1 to 6 s later
	slow time.Duration // added to each answer
}

func newStore() *store {
	return &store{rev: 10, items: map[string]*item{}, changed: make(chan struct{}), faults: map[string]*storeFault{}}
}

// fault changes what the store does to a node's calls.
func (s *store) fault(node string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[node] = &f
}

func (s *store) serve(node, address string) {
	l, err := net.Listen("tcp", address)
	check(err)
	mux := http.NewServeMux()
	handle := func(path string, write bool, f func(http.ResponseWriter, *http.Request)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			fault := storeFault{}
			if p := s.faults[node]; p != nil {
				fault = *p
			}
			s.mu.Unlock()
			time.Sleep(4*time.Millisecond + fault.slow)
			switch fault.mode {
			case "silent":
				time.Sleep(20 * time.Second)
				panic(http.ErrAbortHandler)
			case "busy":
				w.WriteHeader(503)
				return
			case "reset":
				panic(http.ErrAbortHandler)
			}
			if write && rand.Float64() < fault.lost {
				if fault.late {
					time.Sleep(time.Second + time.Duration(rand.IntN(5000))*time.Millisecond)
				}
				f(discard{http.Header{}}, r)
				time.Sleep(10 * time.Second)
				panic(http.ErrAbortHandler)
			}
			f(w, r)
		})
	}
	handle("/api/kv-key", false, s.key)
	handle("/api/kv-range", false, s.list)
	handle("/api/kv-watch", false, func(w http.ResponseWriter, r *http.Request) { s.watch(node, w, r) })
	handle("/api/kv-txn", true, s.txn)
	go func() { _ = http.Serve(l, mux) }()
}

// discard is the answer that is lost.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		reply(w, 404, map[string]any{"StoreRevision": s.rev})
		return
	}
	reply(w, 200, map[string]any{"Key": i.Key, "Value": i.Value, "Revision": i.Revision, "Created": i.Created, "Lease": i.Lease, "StoreRevision": s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, *s.items[k])
	}
	reply(w, 200, map[string]any{"items": items, "HasMore": more, "StoreRevision": s.rev})
}

func (s *store) watch(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[i:] {
			if strings.HasPrefix(e.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		mode := ""
		if f := s.faults[node]; f != nil {
			mode = f.mode
		}
		s.mu.Unlock()
		if mode == "silent" {
			time.Sleep(20 * time.Second)
			panic(http.ErrAbortHandler)
		}
		if mode != "" {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "StoreRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
	Expect []struct {
		Key      string
		Revision int64
	}
	Puts []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Remove []string
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > 32+len(t.Expect) {
		reply(w, 400, map[string]any{})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	items := []item{}
	for _, e := range t.Expect {
		rev := int64(0)
		if i, found := s.items[e.Key]; found {
			rev = i.Revision
			items = append(items, *i)
		} else {
			items = append(items, item{Key: e.Key})
		}
		ok = ok && rev == e.Revision
	}
	if !ok {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.signal()
	reply(w, 200, map[string]any{"Revision": s.rev})
}

// put writes a key at the present revision. The caller holds mu.
func (s *store) put(key string, value []byte) {
	created := s.rev
	if i, ok := s.items[key]; ok {
		created = i.Created
	}
	s.items[key] = &item{Key: key, Value: value, Revision: s.rev, Created: created}
	s.history = append(s.history, event{Key: key, Value: value, Revision: s.rev, Created: created})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, event{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the platform itself: of the operator or a minion.
func (s *store) write(key string, v any) {
	b, err := json.Marshal(v)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, b)
	s.signal()
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.signal()
}

// owner returns the name of the node that the newest head names.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, i := range s.items {
		if strings.HasPrefix(k, "Dotter/Head/") {
			var h struct{ Host string }
			_ = json.Unmarshal(i.Value, &h)
			return h.Host
		}
	}
	return ""
}

func check(err error) {
	if err != nil {
		fmt.Println("stand:", err)
		cleanup()
	}
}
