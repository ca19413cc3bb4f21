//go:build review

package scripts

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// valueBytes, pageItems, pageBytes and transactionEntries are limits of PROTOCOL.md.
	valueBytes         = 1 << 20
	pageItems          = 500
	pageBytes          = 1 << 20
	transactionEntries = 32
)

// Item is a key of the store as it is sent.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the platform's metadata store. While it is down it answers all calls with 503, and leases pause.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]Item
	history []Item
	leases  map[int64]*lease
	// changed is closed and replaced with each change.
	changed   chan struct{}
	down      bool
	downSince time.Time
	// refused counts the transactions that were refused with 400, by reason.
	refused map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		rev: 100, items: make(map[string]Item), leases: make(map[int64]*lease), changed: make(chan struct{}),
		refused: make(map[string]int),
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// SetDown begins or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.downSince = time.Now()
		return
	}
	for _, l := range s.leases {
		l.end = l.end.Add(time.Since(s.downSince))
	}
}

// Refused returns how many transactions were refused with 400, by reason.
func (s *Store) Refused() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int)
	for reason, count := range s.refused {
		counts[reason] = count
	}
	return counts
}

func (s *Store) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var gone []string
	for key, item := range s.items {
		if item.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.rev++
	for _, key := range gone {
		s.remove(key)
	}
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, Item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *Store) set(key string, value []byte, lease int64) {
	created := s.rev
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	item := Item{Key: key, Value: value, Revision: s.rev, Created: created, Lease: lease}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the platform or the operator does. A lease of zero lasts.
func (s *Store) Put(key string, value any, ttl time.Duration) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(0)
	if ttl > 0 {
		if known, ok := s.items[key]; ok {
			delete(s.leases, known.Lease)
		}
		id = s.grant(ttl)
	}
	s.rev++
	s.set(key, encoded, id)
	s.wake()
}

func (s *Store) grant(ttl time.Duration) int64 {
	s.rev++
	s.leases[s.rev] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	return s.rev
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch name := strings.Split(strings.Trim(r.URL.Path, "/"), "/")[0]; name {
	case "kv-key":
		s.get(w, query.Get("key"))
	case "kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case "kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "kv-txn":
		s.commit(w, r)
	case "kv-lease", "kv-keep", "kv-lease-end":
		s.leaseCall(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.items[key]
	at := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		At int64 `json:"at"`
	}{item, at})
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	at := s.rev
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []Item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []Item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, event := range s.history[first:] {
			if strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		at, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []Item   `json:"expected"`
		SetKeys  []Item   `json:"set_keys"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(call.Expected)+len(call.SetKeys)+len(call.Remove) > transactionEntries {
		s.refused["too many entries"]++
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, write := range call.SetKeys {
		if len(write.Value) > valueBytes {
			s.refused["value of more than value_bytes"]++
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.expire()
	current, holds := []Item{}, true
	for _, condition := range call.Expected {
		item, ok := s.items[condition.Key]
		if !ok {
			item = Item{Key: condition.Key}
		}
		current = append(current, item)
		holds = holds && item.Revision == condition.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range call.SetKeys {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, write := range call.SetKeys {
		s.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *Store) leaseCall(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "kv-lease" {
		var call struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		call.TTL = max(call.TTL, 1000)
		id := s.grant(time.Duration(call.TTL) * time.Millisecond)
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": call.TTL})
		return
	}
	s.expire()
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		w.WriteHeader(http.StatusNotFound)
	case name == "kv-keep":
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		s.endLease(id)
		w.WriteHeader(http.StatusOK)
	}
}
