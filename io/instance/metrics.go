package instance

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// instanceMetrics has the metrics of one instance. Their labels are teams, groups, upstreams
// and fixed words, and never keys of callers.
type instanceMetrics struct {
	set *metrics.Set
}

func (m instanceMetrics) refused(team, reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdockseam_refused_total{team=%q,reason=%q}`, team, reason))
}

func (m instanceMetrics) routed(group, upstream, reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdockseam_routed_total{group=%q,upstream=%q,reason=%q}`, group, upstream, reason))
}

func (m instanceMetrics) ackTime(group string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdockseam_ack_seconds{group=%q}`, group))
}
