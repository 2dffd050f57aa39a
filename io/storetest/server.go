// Package storetest is a stand-in for the platform's object store, with faults that
// tests switch while it runs. docs/platform.md describes the API.
package storetest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"burdockseam/io/store"
)

const (
	// maxBody leaves room for the JSON form of the largest value, which is a third
	// longer.
	maxBody = store.MaxValue*4/3 + 1024
	// maxAnswer bounds a watch's answer; the rest comes with the next one.
	maxAnswer = 4 << 20
	maxWait   = 60 * time.Second
)

// Options configure a store. Zero values stand for the defaults named here.
type Options struct {
	// History is the number of changes kept for watches (1000).
	History int
	// Delay is the time that a call takes, half before and half after its effect.
	Delay time.Duration
}

// Server is a running store.
type Server struct {
	o    Options
	addr string
	http *http.Server
	done chan struct{} // closed by Close

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each revision
	objects map[string]store.Object
	history []store.Object // the last changes in order
	dropped uint64         // revision of the newest change not in history

	revision uint64
	faults   faults
	counts   counts
}

// New starts a store. It panics if no loopback port can be opened.
func New(o Options) *Server {
	if o.History == 0 {
		o.History = 1000
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("storetest: %v", err))
	}
	s := &Server{
		o: o, addr: l.Addr().String(), done: make(chan struct{}),
		changed: make(chan struct{}), objects: map[string]store.Object{},
	}
	s.faults.changed = make(chan struct{})
	s.faults.delay = o.Delay
	s.counts.by = map[string]map[Kind]int{}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(l)
	return s
}

// Addr returns the store's host and port.
func (s *Server) Addr() string { return s.addr }

// Close ends the store and its connections.
func (s *Server) Close() {
	close(s.done)
	s.http.Close()
}

// answer is what a call returns.
type answer struct {
	code int
	body any
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	client := r.Header.Get(store.ClientHeader)
	kind, run := s.operation(w, r)
	if run == nil {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	if !s.gate(r, client) {
		drop(w)
		return
	}
	s.counts.add(client, kind)
	half := s.occupy()
	s.sleep(half)
	a := run()
	s.sleep(half)
	if kind != KindGet && kind != KindList && kind != KindWatch && s.faults.loses() || !s.gate(r, client) {
		drop(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.code)
	json.NewEncoder(w).Encode(a.body)
}

func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done:
	}
}

// operation reads the request before any fault holds it back.
func (s *Server) operation(w http.ResponseWriter, r *http.Request) (Kind, func() answer) {
	q := r.URL.Query()
	key, isObject := strings.CutPrefix(r.URL.Path, "/o/")
	condition := uint64(store.AnyVersion)
	if q.Has("if") {
		v, err := strconv.ParseUint(q.Get("if"), 10, 64)
		if err != nil {
			return "", nil
		}
		condition = v
	}
	switch {
	case isObject && r.Method == http.MethodGet:
		return KindGet, func() answer { return s.get(key) }
	case isObject && r.Method == http.MethodPut:
		var o store.Object
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o)
		if _, large := err.(*http.MaxBytesError); large || len(o.Value) > store.MaxValue {
			return KindPut, func() answer { return answer{http.StatusRequestEntityTooLarge, store.Object{Key: key}} }
		}
		if err != nil {
			return "", nil
		}
		return KindPut, func() answer { return s.write(store.Object{Key: key, Value: o.Value}, condition) }
	case isObject && r.Method == http.MethodDelete:
		return KindDelete, func() answer { return s.write(store.Object{Key: key, Deleted: true}, condition) }
	case r.URL.Path == "/list":
		return KindList, func() answer { return s.list(q.Get("prefix")) }
	case r.URL.Path == "/watch":
		since, err := strconv.ParseUint(q.Get("since"), 10, 64)
		if err != nil {
			return "", nil
		}
		wait := maxWait
		if q.Has("wait") {
			ms, err := strconv.ParseInt(q.Get("wait"), 10, 64)
			if err != nil || ms < 0 {
				return "", nil
			}
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
		return KindWatch, func() answer { return s.watch(r, q.Get("prefix"), since, wait) }
	}
	return "", nil
}

func (s *Server) get(key string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[key]; ok {
		return answer{http.StatusOK, o}
	}
	return answer{http.StatusNotFound, store.Object{Key: key}}
}

func (s *Server) write(o store.Object, condition uint64) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, ok := s.objects[o.Key]
	switch {
	case o.Deleted && !ok:
		return answer{http.StatusNotFound, store.Object{Key: o.Key}}
	case condition != store.AnyVersion && condition != present.Version:
		return answer{http.StatusConflict, store.Object{Key: o.Key, Version: present.Version}}
	}
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	if n := len(s.history) - s.o.History; n > 0 {
		s.dropped = s.history[n-1].Version
		s.history = s.history[n:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return answer{http.StatusOK, store.Object{Key: o.Key, Version: o.Version}}
}

func (s *Server) list(prefix string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := store.Objects{Revision: s.revision, Objects: []store.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out.Objects = append(out.Objects, o)
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Key < out.Objects[j].Key })
	return answer{http.StatusOK, out}
}

func (s *Server) watch(r *http.Request, prefix string, since uint64, wait time.Duration) answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if since < s.dropped || since > s.revision {
			s.mu.Unlock()
			return answer{http.StatusGone, store.Objects{Revision: s.revision}}
		}
		out := store.Objects{Revision: s.revision, Objects: []store.Object{}}
		size := 0
		for _, o := range s.history {
			if o.Version <= since || !strings.HasPrefix(o.Key, prefix) {
				continue
			}
			if size > 0 && size+len(o.Value) > maxAnswer {
				out.Revision = out.Objects[len(out.Objects)-1].Version
				break
			}
			size += len(o.Value) + len(o.Key)
			out.Objects = append(out.Objects, o)
		}
		changed := s.changed
		s.mu.Unlock()
		refusing, faults := s.faults.refusing()
		if len(out.Objects) > 0 || refusing {
			return answer{http.StatusOK, out}
		}
		select {
		case <-changed:
		case <-faults:
		case <-timer.C:
			return answer{http.StatusOK, out}
		case <-r.Context().Done():
			return answer{http.StatusOK, out}
		case <-s.done:
			return answer{http.StatusOK, out}
		}
	}
}

// Object returns an object as it is stored, whatever faults are on.
func (s *Server) Object(key string) (store.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Set writes an object past all faults and counters, as the platform does with its
// own objects. It returns the new version.
func (s *Server) Set(key string, value []byte) uint64 {
	s.write(store.Object{Key: key, Value: value}, store.AnyVersion)
	o, _ := s.Object(key)
	return o.Version
}
