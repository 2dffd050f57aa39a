package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// Guards against a load balancer that sends requests to an instance which is not ready, and
// against a readiness page without the reason.
func TestPages(t *testing.T) {
	var reason atomic.Value
	reason.Store("no configuration")
	set := metrics.NewSet()
	set.NewCounter("burdockseam_test_total").Add(7)
	s, err := Listen(Config{
		Addr: "127.0.0.1:0", Metrics: set,
		NotReady: func() error {
			if r := reason.Load().(string); r != "" {
				return errors.New(r)
			}
			return nil
		},
		Status: func() any { return map[string]int{"revision": 4} },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	expectPage := func(path string, code int, text string) {
		t.Helper()
		res, err := http.Get("http://" + s.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != code || !strings.Contains(string(body), text) {
			t.Errorf("%s: status %d, body %.200q, error %v", path, res.StatusCode, body, err)
		}
	}
	expectPage("/readyz", 503, "no configuration")
	expectPage("/healthz", 200, "ok")
	reason.Store("")
	expectPage("/readyz", 200, "ok")
	expectPage("/status", 200, `"revision": 4`)
	expectPage("/metrics", 200, "burdockseam_test_total 7")
	expectPage("/metrics", 200, "process_")
	expectPage("/other", 404, "")
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
	if _, err := http.Get("http://" + s.Addr() + "/healthz"); err == nil {
		t.Error("the port is still served after the context of Serve ended")
	}
}
