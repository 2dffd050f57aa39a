package node

// The process around an instance: the operators' HTTP port and the reload of settings.

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockseam/core/usage"
	"burdockseam/core/where"
)

// operatorReadTimeout bounds the reading of a request on the operators' port.
const operatorReadTimeout = 2 * time.Second

// Process configures the process around an instance.
type Process struct {
	// SettingsPath is the path of the settings file. The file is read again for each value
	// received from Reload.
	SettingsPath string
	Reload       <-chan struct{}
	// ProbePath is the HTTP path of the readiness probe on the operators' port.
	ProbePath string
}

// Operate serves until the context ends and the instance has drained. The operators' port
// answers until then.
func (n *Node) Operate(ctx context.Context, p Process) error {
	operator := &http.Server{Addr: n.settings().Operator, Handler: n.operatorHandler(p.ProbePath), ReadTimeout: operatorReadTimeout}
	g, base := errgroup.WithContext(context.WithoutCancel(ctx))
	g.Go(func() error {
		if err := operator.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	g.Go(func() error {
		for {
			select {
			case <-p.Reload:
				n.Reload(p.SettingsPath)
			case <-base.Done():
				return nil
			}
		}
	})
	g.Go(func() error {
		serving, stop := context.WithCancel(base)
		defer stop()
		defer context.AfterFunc(ctx, stop)()
		err := n.Serve(serving)
		if err := operator.Close(); err != nil {
			n.log.Info("operator: port not closed", "err", err.Error())
		}
		if err == nil {
			err = errInstanceStopped
		}
		return err
	})
	if err := g.Wait(); !errors.Is(err, errInstanceStopped) {
		return err
	}
	return nil
}

// errInstanceStopped ends the other goroutines of the process after the instance has
// stopped.
var errInstanceStopped = errors.New("the instance has stopped")

// operatorStatus is what /status shows.
type operatorStatus struct {
	Usage usage.Status `json:"usage"`
}

// operatorHandler serves the readiness probe, the metrics, the question where a request would go
// and, with usage reports, the status.
func (n *Node) operatorHandler(probe string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+probe, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.set.WritePrometheus(w) })
	mux.HandleFunc("GET "+where.Path, n.serveWhere)
	if n.usage != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if err := json.NewEncoder(w).Encode(operatorStatus{usage.Status{Windows: n.usage.windows()}}); err != nil {
				n.log.Info("operator: status not sent", "err", err.Error())
			}
		})
	}
	return mux
}
