package main

// The platform: an object store with pages and watches, and the promoter.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects of one page: PROTOCOL.md says "about 500 or 1 MB at most".
const pageSize = 500

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

type store struct {
	rec     *record
	address string
	latency time.Duration // of each response

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	tokens   map[string]uint64
	groups   map[string]*group
	// onPage is called before a page of a list is read, without the lock.
	onPage func(kind, after string)
}

func newStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, address: l.Addr().String(), latency: time.Millisecond, revision: 100, objects: make(map[string]map[string]object),
		changed: make(chan struct{}), tokens: make(map[string]uint64), groups: make(map[string]*group),
	}
	go func() { rec.add("store ended: %v", http.Serve(l, s)) }()
	return s, nil
}

// put writes an object without a condition, as operators and backends do, and returns the
// revision.
func (s *store) put(kind, name string, spec any) uint64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Meta: meta{Name: name}, Spec: b})
	return s.revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

func (s *store) write(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, ok := s.objects[kind][o.Meta.Name]
	if o.Meta.Created = time.Now().UnixMilli(); ok {
		o.Meta.Created = old.Meta.Created
		if string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
			return old
		}
	}
	s.revision++
	o.Meta.Revision = s.revision
	s.objects[kind][o.Meta.Name] = o
	s.notify(event{o, false, kind})
	return o
}

func (s *store) erase(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.notify(event{o, true, kind})
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/promote" {
		s.promote(w, r)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, onStatus := strings.CutSuffix(name, "/status")
	q := r.URL.Query()
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if name == "" {
			name = in.Meta.Name
		}
	}
	revision := in.Meta.Revision
	if n, err := strconv.ParseUint(q.Get("revision"), 10, 64); err == nil {
		revision = n
	}
	time.Sleep(s.latency)
	if r.Method == http.MethodGet && name == "" {
		if q.Get("watch") != "" {
			s.watch(w, r, kind)
		} else {
			s.list(w, kind, q.Get("after"))
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && revision > 0 && revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		in.Meta.Revision = 0
		reply(w, http.StatusCreated, s.write(kind, in))
	case !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case r.Method == http.MethodDelete:
		s.erase(kind, name)
		reply(w, http.StatusNoContent, nil)
	case r.Method == http.MethodPut && onStatus:
		old.Status = in.Status
		reply(w, http.StatusOK, s.write(kind, old))
	case r.Method == http.MethodPut:
		old.Spec, old.Meta.Finalizers = in.Spec, in.Meta.Finalizers
		reply(w, http.StatusOK, s.write(kind, old))
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

// list returns one page, in the order of the names. It shows the present state of the store.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	if s.onPage != nil {
		s.onPage(kind, after)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items    []object `json:"items"`
		More     bool     `json:"more"`
		Revision uint64   `json:"store-revision"`
	}{Items: []object{}, Revision: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if out.More = len(names) > pageSize; out.More {
		names = names[:pageSize]
	}
	for _, name := range names {
		out.Items = append(out.Items, s.objects[kind][name])
	}
	if kind == "servers" {
		s.rec.add("store: list of servers after %q: %d entries, more %v, store-revision %d", after, len(out.Items), out.More, out.Revision)
	}
	reply(w, http.StatusOK, out)
}

// watch returns the events after a revision, or none once the time is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	late := time.After(time.Duration(ms) * time.Millisecond)
	ended := false
	for {
		s.mu.Lock()
		out := struct {
			Events   []event `json:"events"`
			Revision uint64  `json:"store-revision"`
		}{Events: []event{}, Revision: s.revision}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > since {
				out.Events = append(out.Events, e)
			}
		}
		next := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 || ended {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-next:
		case <-late:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// promote serves POST /promote. The fence is checked for each service.
func (s *store) promote(w http.ResponseWriter, r *http.Request) {
	var in struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err2 := json.NewDecoder(r.Body).Decode(&in); err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	stale := token < s.tokens[in.Service]
	s.tokens[in.Service] = max(token, s.tokens[in.Service])
	g := s.groups[in.Service]
	s.mu.Unlock()
	status := http.StatusOK
	if stale || g == nil || !g.lead(in.ID) {
		status = http.StatusConflict
	}
	s.rec.add("promoter: service %s id %s holder %s token %d: %d", in.Service, in.ID, r.Header.Get("Duty-Holder"), token, status)
	reply(w, status, nil)
}

// foreignEntries writes n entries of backends of services that no configuration names.
func (s *store) foreignEntries(n int) {
	for k := range n {
		s.put("servers", fmt.Sprintf("i-%08x", uint32(k+1)*2654435761), map[string]any{
			"service": fmt.Sprintf("other%d", k/3), "address": fmt.Sprintf("127.0.0.1:%d", 1+k%9), "zone": zones[k%len(zones)], "version": "v1",
			"slots": 2, "state": "ready", "cold-ms": 0, "db-role": map[bool]string{true: "primary", false: "replica"}[k%3 == 0], "seq": 4, "born": 1700000000000,
		})
	}
}
