package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"burdockseam/core/access"
	"burdockseam/core/call"
	"burdockseam/core/queue"
)

// nodeMetrics holds the metrics of an instance. Times are in seconds.
type nodeMetrics struct {
	set             *metrics.Set
	version         *metrics.Gauge
	stalenessMargin *metrics.Histogram // time by which a replica read is within its staleness bound
	gatewayWait     *metrics.Histogram // wait for a turn at a gateway
	upstreamTime    *metrics.Histogram // time until an upstream's answer
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{
		set: set, version: set.NewGauge("burdockseam_config_version", nil),
		stalenessMargin: set.NewHistogram("burdockseam_staleness_margin_seconds"),
		gatewayWait:     set.NewHistogram("burdockseam_gateway_wait_seconds"),
		upstreamTime:    set.NewHistogram("burdockseam_gateway_upstream_seconds"),
	}
}

// Waited implements gateway.Observer.
func (m *nodeMetrics) Waited(d time.Duration) { m.gatewayWait.Update(d.Seconds()) }

// Answered implements gateway.Observer.
func (m *nodeMetrics) Answered(d time.Duration) { m.upstreamTime.Update(d.Seconds()) }

// Refused implements gateway.Observer. The reasons of the queue are the values of the label;
// other texts contain addresses and are counted together.
func (m *nodeMetrics) Refused(reason string, late bool) {
	switch queue.Reason(reason) {
	case queue.ReasonDeadline, queue.ReasonTeamFull, queue.ReasonFull, queue.ReasonTransaction, queue.ReasonIdle, queue.ReasonClosed:
	default:
		reason = "upstream"
	}
	m.increment(fmt.Sprintf("burdockseam_gateway_refused_total{reason=%q,late=\"%t\"}", reason, late))
}

// Paced implements gateway.Observer.
func (m *nodeMetrics) Paced(phase string) {
	m.increment(fmt.Sprintf("burdockseam_gateway_pace_total{phase=%q}", phase))
}

// registerGauges registers the gauges of the instance's state.
func (m *nodeMetrics) registerGauges(n *Node) {
	for name, value := range map[string]func() int{
		"burdockseam_gateway_queued":      func() int { return n.gateways.Usage().Queued },
		"burdockseam_gateway_running":     func() int { return n.gateways.Usage().Running },
		"burdockseam_gateway_connections": func() int { return n.gateways.Usage().Connections },
		"burdockseam_gateway_pace":        func() int { return n.gateways.Usage().Pace },
		"burdockseam_gateway_pace_below":  func() int { return n.gateways.Usage().Below },
		"burdockseam_callers":             func() int { open, _ := n.callers.Sessions(); return open },
		"burdockseam_peers":               func() int { return len(n.snapshot.Load().instances) - 1 },
		"burdockseam_peers_suspect":       n.suspectCount,
		"burdockseam_table_requests":      func() int { return int(n.tableRequests.Load()) },
		"burdockseam_limit_delegations":   n.delegates.delegations,
	} {
		m.set.NewGauge(name, func() float64 { return float64(value()) })
	}
	m.set.NewGauge("burdockseam_limit_sum", n.delegates.sum)
	m.set.NewGauge("burdockseam_store_silent_seconds", func() float64 { return n.tables.silentFor().Seconds() })
	for _, k := range mirroredKinds {
		m.set.NewGauge(fmt.Sprintf("burdockseam_store_watch_seconds{kind=%q}", k), func() float64 { return n.tables.watchedFor(k).Seconds() })
	}
}

// recordStatement counts a statement by the consistency of its route and its outcome.
func (m *nodeMetrics) recordStatement(r access.Route, reply call.Reply, took time.Duration) {
	code := reply.Code
	if code == call.OK {
		code = "ok"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("burdockseam_statements_total{consistency=%q,code=%q}", r.Consistency, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("burdockseam_statement_seconds{consistency=%q}", r.Consistency)).Update(took.Seconds())
}

// increment adds one to a counter.
func (m *nodeMetrics) increment(name string) { m.set.GetOrCreateCounter(name).Inc() }

// addTableBytes counts the bytes of the objects that other instances sent for a table.
func (m *nodeMetrics) addTableBytes(k Kind, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdockseam_table_bytes_total{kind=%q}", k)).Add(n)
}

// countLimitOutcome counts an operation by the source of its token: the reserve, a request to
// the owner, which may refuse it, or delegated parts, from stock or after a wait for a collector.
func (m *nodeMetrics) countLimitOutcome(outcome string) {
	m.increment(fmt.Sprintf("burdockseam_limit_total{outcome=%q}", outcome))
}

// countTransfer counts tokens that collectors transferred to or from this one.
func (m *nodeMetrics) countTransfer(direction string, tokens float64) {
	m.set.GetOrCreateFloatCounter(fmt.Sprintf("burdockseam_limit_transferred_total{direction=%q}", direction)).Add(tokens)
}

// countingStore is a store that counts its calls by kind and outcome.
type countingStore struct {
	Store
	m *nodeMetrics
}

func (c countingStore) countCall(call string, kind Kind, err error) {
	outcome := "ok"
	switch {
	case errors.Is(err, ErrConflict), errors.Is(err, ErrMissing), errors.Is(err, ErrHistoryLost):
		outcome = "refused"
	case errors.Is(err, errOverdue):
		outcome = "overdue"
	case err != nil:
		outcome = "failed"
	}
	c.m.increment(fmt.Sprintf("burdockseam_store_calls_total{call=%q,kind=%q,outcome=%q}", call, kind, outcome))
}

// List implements Store.
func (c countingStore) List(ctx context.Context, kind Kind) ([]Object, Stamp, error) {
	objects, stamp, err := c.Store.List(ctx, kind)
	c.countCall("list", kind, err)
	return objects, stamp, err
}

// ListStale implements Store.
func (c countingStore) ListStale(ctx context.Context, kind Kind) ([]Object, Stamp, error) {
	objects, stamp, err := c.Store.ListStale(ctx, kind)
	c.countCall("listold", kind, err)
	return objects, stamp, err
}

// Watch implements Store.
func (c countingStore) Watch(ctx context.Context, kind Kind, since uint64, wait time.Duration) ([]Event, Stamp, error) {
	events, stamp, err := c.Store.Watch(ctx, kind, since, wait)
	if err != nil && errors.Is(context.Cause(ctx), errOverdue) {
		err = errOverdue
	}
	c.countCall("watch", kind, err)
	return events, stamp, err
}

// Get implements Store.
func (c countingStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	o, err := c.Store.Get(ctx, kind, name)
	c.countCall("get", kind, err)
	return o, err
}

// Create implements Store.
func (c countingStore) Create(ctx context.Context, kind Kind, o Object) (Object, error) {
	o, err := c.Store.Create(ctx, kind, o)
	c.countCall("create", kind, err)
	return o, err
}

// Replace implements Store.
func (c countingStore) Replace(ctx context.Context, kind Kind, o Object) (Object, error) {
	o, err := c.Store.Replace(ctx, kind, o)
	c.countCall("replace", kind, err)
	return o, err
}

// Delete implements Store.
func (c countingStore) Delete(ctx context.Context, kind Kind, name string) error {
	err := c.Store.Delete(ctx, kind, name)
	c.countCall("delete", kind, err)
	return err
}
