// Package storetest provides a stand-in for the platform's object store, with faults
// that tests can inject while it runs. docs/platform.md describes the HTTP API.
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
	// maxBody bounds the body of a put. The JSON form of a value (base64) is a third
	// longer than the value.
	maxBody = store.MaxValue*4/3 + 1024
	// maxWatchResponse bounds the size of the values in the response to a watch. The
	// client gets the remaining changes with its next watch.
	maxWatchResponse = 4 << 20
	// maxWait bounds how long a watch waits for a change.
	maxWait = 60 * time.Second
)

// Options configures a store. Zero fields take the defaults given in parentheses.
type Options struct {
	// History is the number of past changes kept for watches (1000).
	History int
	// Delay is the initial value for SetDelay (0).
	Delay time.Duration
}

// Server is a running object store on a loopback port.
type Server struct {
	options Options
	addr    string
	http    *http.Server
	closed  chan struct{} // closed by Close

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each new revision
	objects map[string]store.Object
	history []store.Object // the most recent changes, oldest first
	dropped uint64         // revision of the newest change that history no longer holds

	revision uint64
	faults   faults
	counts   counts
}

// New starts a store. It panics if it cannot listen on a loopback port.
func New(o Options) *Server {
	if o.History == 0 {
		o.History = 1000
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("storetest: listen on a loopback port: %v", err))
	}
	s := &Server{
		options: o, addr: l.Addr().String(), closed: make(chan struct{}),
		changed: make(chan struct{}), objects: map[string]store.Object{},
	}
	s.faults.changed = make(chan struct{})
	s.faults.delay = o.Delay
	s.counts.byClient = map[string]map[Kind]int{}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(l)
	return s
}

// Addr returns the host and port of the store.
func (s *Server) Addr() string { return s.addr }

// Close stops the store and closes its connections.
func (s *Server) Close() {
	close(s.closed)
	s.http.Close()
}

// response is the status code and the JSON body of a response.
type response struct {
	code int
	body any
}

// serve handles one HTTP request under the injected faults.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	client := r.Header.Get(store.ClientHeader)
	kind, run := s.parseRequest(w, r)
	if run == nil {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	losses, losing := s.faults.lossCount()
	if losing {
		s.waitAbandoned(r)
		return
	}
	if !s.waitUnblocked(r, client) {
		resetConnection(w)
		return
	}
	s.counts.add(client, kind)
	half := s.waitServiceTime()
	s.sleep(half)
	a := run()
	s.sleep(half)
	if kind != KindGet && kind != KindList && kind != KindWatch && s.faults.loseNextResponse() || !s.waitUnblocked(r, client) {
		resetConnection(w)
		return
	}
	if now, _ := s.faults.lossCount(); now != losses {
		s.waitAbandoned(r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.code)
	json.NewEncoder(w).Encode(a.body)
}

// sleep waits for the duration d or until the server is closed.
func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closed:
	}
}

// parseRequest reads the whole request, before any fault delays it, and returns its
// kind and the function that runs it. The function is nil if the request is invalid.
func (s *Server) parseRequest(w http.ResponseWriter, r *http.Request) (Kind, func() response) {
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
		return KindGet, func() response { return s.get(key) }
	case isObject && r.Method == http.MethodPut:
		var o store.Object
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o)
		if _, large := err.(*http.MaxBytesError); large || len(o.Value) > store.MaxValue {
			return KindPut, func() response { return response{http.StatusRequestEntityTooLarge, store.Object{Key: key}} }
		}
		if err != nil {
			return "", nil
		}
		return KindPut, func() response { return s.write(store.Object{Key: key, Value: o.Value}, condition) }
	case isObject && r.Method == http.MethodDelete:
		return KindDelete, func() response { return s.write(store.Object{Key: key, Deleted: true}, condition) }
	case r.URL.Path == "/list":
		return KindList, func() response { return s.list(q.Get("prefix")) }
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
		return KindWatch, func() response { return s.watch(r, q.Get("prefix"), since, wait) }
	}
	return "", nil
}

func (s *Server) get(key string) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[key]; ok {
		return response{http.StatusOK, o}
	}
	return response{http.StatusNotFound, store.Object{Key: key}}
}

// write puts or deletes an object if the condition, a version or store.AnyVersion,
// holds. It records the change in the history and wakes the watches.
func (s *Server) write(o store.Object, condition uint64) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[o.Key]
	switch {
	case o.Deleted && !ok:
		return response{http.StatusNotFound, store.Object{Key: o.Key}}
	case condition != store.AnyVersion && condition != current.Version:
		return response{http.StatusConflict, store.Object{Key: o.Key, Version: current.Version}}
	}
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	if n := len(s.history) - s.options.History; n > 0 {
		s.dropped = s.history[n-1].Version
		s.history = s.history[n:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return response{http.StatusOK, store.Object{Key: o.Key, Version: o.Version}}
}

// list returns the objects whose keys have the prefix, sorted by key.
func (s *Server) list(prefix string) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := store.Objects{Revision: s.revision, Objects: []store.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out.Objects = append(out.Objects, o)
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Key < out.Objects[j].Key })
	return response{http.StatusOK, out}
}

// watch returns the changes of keys with the prefix after the revision since. It waits
// until there is one, the wait is over, or connections are refused. The status is 410
// if the history no longer covers the revision.
func (s *Server) watch(r *http.Request, prefix string, since uint64, wait time.Duration) response {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if since < s.dropped || since > s.revision {
			s.mu.Unlock()
			return response{http.StatusGone, store.Objects{Revision: s.revision}}
		}
		out := store.Objects{Revision: s.revision, Objects: []store.Object{}}
		size := 0
		for _, o := range s.history {
			if o.Version <= since || !strings.HasPrefix(o.Key, prefix) {
				continue
			}
			if size > 0 && size+len(o.Value) > maxWatchResponse {
				out.Revision = out.Objects[len(out.Objects)-1].Version
				break
			}
			size += len(o.Value) + len(o.Key)
			out.Objects = append(out.Objects, o)
		}
		changed := s.changed
		s.mu.Unlock()
		refusing, faultsChanged := s.faults.refusesConnections()
		if len(out.Objects) > 0 || refusing {
			return response{http.StatusOK, out}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			return response{http.StatusOK, out}
		case <-r.Context().Done():
			return response{http.StatusOK, out}
		case <-s.closed:
			return response{http.StatusOK, out}
		}
	}
}

// Object returns the stored object, regardless of injected faults.
func (s *Server) Object(key string) (store.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Set writes an object regardless of injected faults and without counting a request, as
// the platform does with its own objects. It returns the new version.
func (s *Server) Set(key string, value []byte) uint64 {
	s.write(store.Object{Key: key, Value: value}, store.AnyVersion)
	o, _ := s.Object(key)
	return o.Version
}
