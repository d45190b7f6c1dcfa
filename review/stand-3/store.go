package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created-rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// backup is a copy of the store's contents.
type backup struct {
	items    map[string]item
	history  []item
	revision uint64
}

// store is a stand-in of the platform's store with the two reading calls. Operators and
// replicas write to it in this process.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	era      uint64
	away     bool
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]item{}, revision: 400, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and returns its revision, or false while the store is away.
func (s *store) put(key string, value []byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
	return s.revision, true
}

// remove deletes a key and reports whether the store was there.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.revision++
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		s.notify()
	}
	return true
}

// copyAll returns a copy of the contents.
func (s *store) copyAll() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// setAway makes the store silent, or ends that.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	s.away = away
	s.notify()
	s.mu.Unlock()
}

// restore ends the absence with the contents of a copy, in the next era. It returns the last
// revision before and after.
func (s *store) restore(b backup) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.revision
	s.items, s.history, s.revision = b.items, b.history, b.revision
	s.era++
	s.away = false
	s.notify()
	return before, s.revision
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// hang leaves a call without an answer.
func hang(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
	}
	panic(http.ErrAbortHandler)
}

func (s *store) answer(w http.ResponseWriter, status int, era uint64, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The caller may have left.
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(storeDelay)
	s.mu.Lock()
	away, era, current := s.away, s.era, s.revision
	var list []item
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	s.mu.Unlock()
	if away {
		hang(w, r)
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageSize
	s.answer(w, http.StatusOK, era, map[string]any{"items": list[:min(len(list), pageSize)], "more-pages": more, "current-rev": current})
}

const (
	storeDelay = 4 * time.Millisecond
	pageSize   = 500
)

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		s.answer(w, http.StatusBadRequest, s.era, map[string]any{})
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	begun := s.era
	s.mu.Unlock()
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		changed, away, era, current := s.changed, s.away, s.era, s.revision
		var events []item
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			hang(w, r)
		case era != begun:
			panic(http.ErrAbortHandler) // A watch that waits may be cut.
		case after > current:
			s.answer(w, http.StatusGone, era, map[string]any{"current-rev": current})
			return
		case len(events) > 0 || ended:
			if events == nil {
				events = []item{}
			}
			s.answer(w, http.StatusOK, era, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			ended = true
		}
	}
}
