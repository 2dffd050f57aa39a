package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"burdockseam/core/access"
	"burdockseam/core/call"
)

// nodeMetrics are the counters of an instance. Times are in seconds.
type nodeMetrics struct {
	set      *metrics.Set
	version  *metrics.Gauge
	margin   *metrics.Histogram // by which a replica read is inside its staleness bound
	waited   *metrics.Histogram // for a turn at a gateway
	upstream *metrics.Histogram // for an upstream's answer
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{
		set: set, version: set.NewGauge("burdockseam_config_version", nil),
		margin:   set.NewHistogram("burdockseam_staleness_margin_seconds"),
		waited:   set.NewHistogram("burdockseam_gateway_wait_seconds"),
		upstream: set.NewHistogram("burdockseam_gateway_upstream_seconds"),
	}
}

// Waited implements gateway.Observer.
func (m *nodeMetrics) Waited(d time.Duration) { m.waited.Update(d.Seconds()) }

// Answered implements gateway.Observer.
func (m *nodeMetrics) Answered(d time.Duration) { m.upstream.Update(d.Seconds()) }

// watch adds the gauges of the instance's state.
func (m *nodeMetrics) watch(n *Node) {
	for name, value := range map[string]func() int{
		"burdockseam_gateway_queued":      func() int { return n.gateways.Usage().Queued },
		"burdockseam_gateway_running":     func() int { return n.gateways.Usage().Running },
		"burdockseam_gateway_connections": func() int { return n.gateways.Usage().Connections },
		"burdockseam_callers":             func() int { open, _ := n.callers.Sessions(); return open },
		"burdockseam_peers":               func() int { return len(n.snapshot.Load().instances) - 1 },
		"burdockseam_peers_suspect":       n.suspects,
	} {
		m.set.NewGauge(name, func() float64 { return float64(value()) })
	}
	m.set.NewGauge("burdockseam_store_silent_seconds", func() float64 { return n.tables.silent().Seconds() })
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

// limit counts an operation by where its token came from: the reserve, or the owner, who
// was asked and may have refused.
func (m *nodeMetrics) limit(outcome string) {
	m.count(fmt.Sprintf("burdockseam_limit_total{outcome=%q}", outcome))
}

// counted is a store that counts its calls by kind and outcome.
type counted struct {
	Store
	m *nodeMetrics
}

func (c counted) note(call string, kind Kind, err error) {
	outcome := "ok"
	switch {
	case errors.Is(err, ErrConflict), errors.Is(err, ErrMissing), errors.Is(err, ErrHistory):
		outcome = "refused"
	case err != nil:
		outcome = "failed"
	}
	c.m.count(fmt.Sprintf("burdockseam_store_calls_total{call=%q,kind=%q,outcome=%q}", call, kind, outcome))
}

// List implements Store.
func (c counted) List(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	objects, revision, err := c.Store.List(ctx, kind)
	c.note("list", kind, err)
	return objects, revision, err
}

// ListOld implements Store.
func (c counted) ListOld(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	objects, revision, err := c.Store.ListOld(ctx, kind)
	c.note("listold", kind, err)
	return objects, revision, err
}

// Watch implements Store.
func (c counted) Watch(ctx context.Context, kind Kind, since uint64, wait time.Duration) ([]Event, uint64, error) {
	events, revision, err := c.Store.Watch(ctx, kind, since, wait)
	c.note("watch", kind, err)
	return events, revision, err
}

// Get implements Store.
func (c counted) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	o, err := c.Store.Get(ctx, kind, name)
	c.note("get", kind, err)
	return o, err
}

// Create implements Store.
func (c counted) Create(ctx context.Context, kind Kind, o Object) (Object, error) {
	o, err := c.Store.Create(ctx, kind, o)
	c.note("create", kind, err)
	return o, err
}

// Replace implements Store.
func (c counted) Replace(ctx context.Context, kind Kind, o Object) (Object, error) {
	o, err := c.Store.Replace(ctx, kind, o)
	c.note("replace", kind, err)
	return o, err
}

// Delete implements Store.
func (c counted) Delete(ctx context.Context, kind Kind, name string) error {
	err := c.Store.Delete(ctx, kind, name)
	c.note("delete", kind, err)
	return err
}
