package node

// The process of an instance: the operator's port beside it, and reloads of its settings.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// operatorTimeout bounds the reading of a request at the operator's port.
const operatorReadTimeout = 2 * time.Second

// Process is what an instance's process adds to it.
type Process struct {
	// Settings is the path of the settings file, which is read again for each value of
	// Reload.
	SettingsPath string
	Reload       <-chan struct{}
	// Probe is the path of the readiness probe at the operator's port.
	ProbePath string
}

// Operate serves until the context ends and the instance has drained. The operator's port
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
			n.log.Info("operator: not closed", "err", err.Error())
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

// errStopped ends the other parts of a process after its instance has stopped.
var errInstanceStopped = errors.New("stopped")

// operator answers the readiness probe and gives the metrics.
func (n *Node) operatorHandler(probe string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+probe, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.set.WritePrometheus(w) })
	return mux
}
