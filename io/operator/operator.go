// Package operator implements the HTTP port of an instance for operators. It serves
// /metrics, /healthz, /readyz, /status, /members and /switch.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("operator")

const (
	// headerTimeout bounds the time that a client may take to send the request header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the time for running requests when the server shuts down.
	shutdownTimeout = time.Second
)

// Config configures a Server. The functions may be called concurrently.
type Config struct {
	// Addr is the host and port on which the server listens.
	Addr string
	// Metrics is published on /metrics together with the metrics of the process.
	Metrics *metrics.Set
	// NotReady returns the reason why the instance accepts no new work, or nil.
	NotReady func() error
	// Status returns the value that /status shows as JSON.
	Status func() any
	// Members returns the value that /members shows as JSON. It may call other instances.
	Members func(ctx context.Context) any
	// Switch starts a switchover of a group to the given upstream as its new primary. The
	// error wraps ErrNotCoordinator if the request must go to another instance.
	Switch func(group, upstream string) error
	// Secret is the bearer token that requests to change the system must carry. If it is
	// empty, all such requests are refused.
	Secret string
}

// ErrNotCoordinator is returned by Config.Switch if this instance is not the coordinator of
// the group.
var ErrNotCoordinator = errors.New("this instance does not coordinate the group")

// Server serves the operators' HTTP port.
type Server struct {
	config   Config
	listener net.Listener
}

// Listen opens the port. Requests that arrive before Serve wait.
func Listen(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Server{c, l}, nil
}

// Addr returns the host and port on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers requests until the context ends and the running requests are finished or
// shutdownTimeout has passed.
func (s *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.config.Status()) })
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.config.Members(r.Context())) })
	mux.HandleFunc("POST /switch", s.serveSwitch)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			server.Close()
		}
	})
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		stop()
		return Error.Wrap(err)
	}
	<-shutdownDone
	return nil
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if s.config.Metrics != nil {
		s.config.Metrics.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.config.NotReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, "the answer cannot be shown as JSON", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has closed the connection.
	_, _ = w.Write(append(body, '\n'))
}

// authorized reports whether the request carries the secret as its bearer token. It compares
// hashes, so that the duration of the comparison reveals neither the length nor the content
// of the secret.
func (s *Server) authorized(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.config.Secret))
	return ok && s.config.Secret != "" && subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

// serveSwitch handles POST /switch?group=G&upstream=U, which starts a switchover. The
// response status is 202 if the switchover has started, 401 if the secret is missing or
// wrong, 421 if another instance coordinates the group, and 409 if the switchover is not
// possible now.
func (s *Server) serveSwitch(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "the shared secret is needed as a bearer token", http.StatusUnauthorized)
		return
	}
	group, upstream := r.URL.Query().Get("group"), r.URL.Query().Get("upstream")
	switch err := s.config.Switch(group, upstream); {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, ErrNotCoordinator):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
