package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"burdockseam/core/access"
	"burdockseam/core/call"
)

// nodeMetrics are the counters of an instance. Times are in seconds.
type nodeMetrics struct {
	set     *metrics.Set
	version *metrics.Gauge
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{set: set, version: set.NewGauge("burdockseam_config_version", nil)}
}

// statement counts a statement by the consistency of its route and its outcome.
func (m *nodeMetrics) statement(r access.Route, reply call.Reply, took time.Duration) {
	code := reply.Code
	if code == call.OK {
		code = "ok"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("burdockseam_statements_total{consistency=%q,code=%q}", r.Consistency, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("burdockseam_statement_seconds{consistency=%q}", r.Consistency)).Update(took.Seconds())
}

// count adds one to a counter.
func (m *nodeMetrics) count(name string) { m.set.GetOrCreateCounter(name).Inc() }
