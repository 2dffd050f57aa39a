package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision,omitempty"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// storeEvent is a change of an object.
type storeEvent struct {
	kind     string
	revision uint64
	object   storeObject
	deleted  bool
}

// store is a stand-in for the platform's store, without faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject // by kind and name
	events   []storeEvent
	changed  chan struct{} // closed at each change
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

// put writes an object, as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	var o storeObject
	o.Meta.Name, o.Spec = name, data
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, o)
}

// remove deletes an object, as the platform does with the entry of a silent server.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

// count returns the number of objects of a kind.
func (s *store) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

// write stores an object. A write that changes nothing has no revision. The lock is held.
func (s *store) write(kind string, o storeObject) storeObject {
	if old, ok := s.objects[kind][o.Meta.Name]; ok && string(old.Spec) == string(o.Spec) {
		return old
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	s.revision++
	o.Meta.Revision = s.revision
	s.objects[kind][o.Meta.Name] = o
	s.record(storeEvent{kind, s.revision, o, false})
	return o
}

// erase deletes an object, if it exists. The lock is held.
func (s *store) erase(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(storeEvent{kind, s.revision, o, true})
}

// record adds an event and wakes the watches. The lock is held.
func (s *store) record(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if since := r.URL.Query().Get("watch"); since != "" {
		s.serveWatch(w, r, kind, since)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	var in storeObject
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.Unmarshal(body, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := make([]storeObject, 0, len(s.objects[kind]))
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		slices.SortFunc(items, func(a, b storeObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
		reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "store-revision": s.revision})
	case r.Method == http.MethodGet && exists:
		reply(w, http.StatusOK, stored)
	case r.Method == http.MethodDelete && exists:
		s.erase(kind, name)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPost && exists,
		r.Method == http.MethodPut && exists && in.Meta.Revision != 0 && in.Meta.Revision != stored.Meta.Revision:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost, r.Method == http.MethodPut && exists:
		reply(w, http.StatusOK, s.write(kind, in))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// storeDelay is the time of an answer of the store.
const storeDelay = 4 * time.Millisecond

// serveWatch answers once an object of the kind has changed, or when the time is over.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind, text string) {
	since, err := strconv.ParseUint(text, 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := make([]map[string]any, 0)
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		revision, next := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-next:
		case <-over:
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes an answer as JSON.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the far end may have gone
}

// promoter is a stand-in for the platform's promotion calls. It checks fencing tokens.
type promoter struct {
	mu     sync.Mutex
	tokens map[string]uint64 // highest token of each group
	groups map[string]*group
	down   bool                // it answers 503 and does nothing
	asked  func(target string) // if set, called with the target of each call while it is down
}

// setDown takes the promotion calls down, or up again.
func (p *promoter) setDown(down bool) {
	say("promoter down=%t", down)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// ServeHTTP implements http.Handler.
func (p *promoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err2 := json.NewDecoder(r.Body).Decode(&in); err != nil || err2 != nil || r.URL.Path != "/promote" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	g, down, asked := p.groups[in.Service], p.down, p.asked
	stale := token < p.tokens[in.Service]
	if !down {
		p.tokens[in.Service] = max(token, p.tokens[in.Service])
	}
	p.mu.Unlock()
	if down {
		say("order while down service=%s id=%s holder=%s token=%d", in.Service, in.ID, r.Header.Get("Duty-Holder"), token)
		w.WriteHeader(http.StatusServiceUnavailable)
		if asked != nil {
			asked(in.ID)
		}
		return
	}
	accepted := !stale && g != nil && g.promote(in.ID)
	say("order service=%s id=%s holder=%s token=%d accepted=%t", in.Service, in.ID, r.Header.Get("Duty-Holder"), token, accepted)
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
}

// serveHTTP serves a handler on a free loopback port and returns the address.
func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
