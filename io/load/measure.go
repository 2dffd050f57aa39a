package load

import (
	"bufio"
	"context"
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"burdockseam/core/route"
)

// Result holds the measurements of a run. Times are in milliseconds, except Seconds.
type Result struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Rate       float64 `json:"rate"`
	Marks      []Mark  `json:"marks"`

	Requests int `json:"requests"`
	Done     int `json:"done"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	// Unsent counts requests that still waited for their session 20 s after the run.
	Unsent int `json:"unsent"`
	// RetriedElsewhere counts requests that found their connection closed by an instance
	// that shut down, and were sent on a new connection.
	RetriedElsewhere int     `json:"moved"`
	P50              float64 `json:"p50"`
	P99              float64 `json:"p99"`
	Max              float64 `json:"max"`

	// ReplicaReads counts the reads that were routed to replicas, and Reads all reads.
	ReplicaReads int `json:"replicareads"`
	Reads        int `json:"reads"`
	// Gap is the longest time from the last acknowledgement in one term of a group to
	// the first in the next, or 0 if no primary changed.
	Gap float64 `json:"gap"`
	// ShareRatio and P99Ratio compare the worst-served team with the best-served one of
	// equal demand: the ratio of their served shares, worst by best, and of their p99
	// latencies, best by worst.
	ShareRatio float64 `json:"share"`
	P99Ratio   float64 `json:"tail"`
	// WrongfulRefusals counts requests that were refused although their team was within
	// its rate, and RateRefusals those of them that were refused because of the rate.
	WrongfulRefusals int `json:"wrongful"`
	RateRefusals     int `json:"overrate"`
	// DomainMove counts the requests since a failure domain was taken out of service. It
	// is nil if none was.
	DomainMove *DomainMove `json:"move,omitempty"`

	Teams          []TeamResult    `json:"teams"`
	Reasons        map[string]int  `json:"reasons"`
	BrokenPromises map[Promise]int `json:"broken"`
	Notes          []string        `json:"notes,omitempty"`
	Series         []Point         `json:"series"`
}

// DomainMove counts the requests while a failure domain is taken out of service and put
// back.
type DomainMove struct {
	Requests int `json:"requests"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`  // failed or unknown
	Delayed  int `json:"delayed"` // later than delayLimit
}

// TeamResult counts the requests of one team.
type TeamResult struct {
	Name     string  `json:"name"`
	Rate     int     `json:"rate"`
	Requests int     `json:"requests"`
	Done     int     `json:"done"`
	P99      float64 `json:"p99"`
}

// Point is one interval of the plot, with the requests that were planned in it.
type Point struct {
	At     float64 `json:"at"` // seconds
	Done   int     `json:"done"`
	Errors int     `json:"errors"`
	P99    float64 `json:"p99"`
}

const (
	// delayLimit is the latency above which a request counts as delayed.
	delayLimit = 500 * time.Millisecond
	// pointInterval is the time that one point of the plot covers.
	pointInterval = 250 * time.Millisecond
	// maxLatencyMicros is the longest latency that the histograms hold, in
	// microseconds. Longer ones are recorded as this one.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// newHistogram returns a histogram of latencies in microseconds with 3 significant
// digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// recordLatency adds a latency to a histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The clamped value is within the histogram's bounds, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// quantileMillis returns a quantile of a histogram in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// rolledBackByCaller reports whether the caller rolled the transaction back itself.
func rolledBackByCaller(e Event) bool { return e.Reason == reasonRolledBack }

// served reports whether the request ended as its caller wished.
func served(e Event) bool { return e.Outcome == OutcomeDone || rolledBackByCaller(e) }

// countCutRequests counts the requests that were interrupted. A graceful shutdown must
// not interrupt any.
func countCutRequests(events []Event) int {
	n := 0
	for _, e := range events {
		if e.Outcome == OutcomeUnknown || e.Reason == reasonAborted || e.Reason == reasonClosed || e.Reason == reasonShutdown {
			n++
		}
	}
	return n
}

// buildResult computes the result of the run. The caller holds r.mu.
func (r *Run) buildResult(ctx context.Context, broken map[Promise]int) Result {
	res := Summarize(r.events, r.started, r.Length, r.hotTeam())
	res.Deployment, res.Scenario, res.Seed = string(r.Deployment.Name), r.scenario.Name, r.Seed
	res.Rate, res.Marks, res.Notes, res.Unsent = r.Rate, r.marks, r.notes, int(r.unsent.Load())
	res.RetriedElsewhere = int(r.retriedElsewhere.Load())
	res.BrokenPromises = make(map[Promise]int)
	for _, p := range Promises {
		res.BrokenPromises[p] = broken[p]
	}
	if !r.domainMove[0].IsZero() {
		res.DomainMove = summarizeMove(r.events, r.domainMove[0], r.domainMove[1])
	}
	for i := range res.Teams {
		for _, t := range r.Deployment.Teams {
			if t.Name == res.Teams[i].Name {
				res.Teams[i].Rate = t.Rate
			}
		}
	}
	res.ShareRatio, res.P99Ratio = compareTeams(res.Teams, r.hotTeam())
	for _, e := range r.cluster.Endpoints() {
		replica, reads := countRoutedReads(ctx, e, r.Reads)
		res.ReplicaReads += replica
		res.Reads += reads
	}
	return res
}

// Summarize computes the part of the result that depends on the events alone. The hot
// team, which exceeds its rate, is left out of the wrongful refusals and of the latencies
// over all teams.
func Summarize(events []Event, begun time.Time, length time.Duration, hot string) Result {
	res := Result{Seconds: length.Seconds(), Requests: len(events), Reasons: make(map[string]int)}
	all := newHistogram()
	teams := make(map[string]*hdrhistogram.Histogram)
	resultByTeam := make(map[string]*TeamResult)
	points := make([]Point, int(length/pointInterval)+1)
	pointLatencies := make([]*hdrhistogram.Histogram, len(points))
	for i := range points {
		points[i].At = (time.Duration(i) * pointInterval).Seconds()
		pointLatencies[i] = newHistogram()
	}
	for _, e := range events {
		t := resultByTeam[e.Team]
		if t == nil {
			t = &TeamResult{Name: e.Team}
			resultByTeam[e.Team], teams[e.Team] = t, newHistogram()
		}
		t.Requests++
		i := min(int(e.Planned.Sub(begun)/pointInterval), len(points)-1)
		switch {
		case served(e):
			res.Done++
			t.Done++
			points[i].Done++
			recordLatency(teams[e.Team], e.Latency())
			if e.Team != hot {
				recordLatency(all, e.Latency())
				recordLatency(pointLatencies[i], e.Latency())
			}
			continue
		case e.Outcome == OutcomeNotRun:
			res.Refused++
			if e.Team != hot {
				res.WrongfulRefusals++
				if strings.Contains(e.Reason, "over its rate") {
					res.RateRefusals++
				}
			}
		case e.Outcome == OutcomeUnknown:
			res.Unknown++
		default:
			res.Failed++
		}
		points[i].Errors++
		res.Reasons[string(e.Outcome)+" "+withoutNumbers(e.Reason)]++
	}
	res.P50, res.P99, res.Max = quantileMillis(all, 50), quantileMillis(all, 99), float64(all.Max())/1000
	for name, t := range resultByTeam {
		t.P99 = quantileMillis(teams[name], 99)
		res.Teams = append(res.Teams, *t)
	}
	sort.Slice(res.Teams, func(i, j int) bool { return res.Teams[i].Name < res.Teams[j].Name })
	for i := range points {
		points[i].P99 = quantileMillis(pointLatencies[i], 99)
	}
	res.Series, res.Gap = points, float64(longestGap(events))/float64(time.Millisecond)
	return res
}

var numbers = regexp.MustCompile(`[0-9]+(/[0-9]+)?`)

// withoutNumbers replaces the numbers in a reason, so that reasons that differ in
// numbers only are counted together.
func withoutNumbers(reason string) string { return numbers.ReplaceAllString(reason, "#") }

// summarizeMove counts the requests that were planned between two times.
func summarizeMove(events []Event, from, to time.Time) *DomainMove {
	m := &DomainMove{}
	for _, e := range events {
		if e.Planned.Before(from) || e.Planned.After(to) {
			continue
		}
		m.Requests++
		switch {
		case served(e) && e.Latency() > delayLimit:
			m.Delayed++
		case served(e):
		case e.Outcome == OutcomeNotRun:
			m.Refused++
		default:
			m.Failed++
		}
	}
	return m
}

// longestGap returns the longest time between the last acknowledgement in one term of
// a group and the first in the next. It ignores writes with an idempotency key, since the
// response to a retry shows the term of the first attempt.
func longestGap(events []Event) time.Duration {
	type span struct{ first, last time.Time }
	groups := make(map[string]map[uint64]span)
	for _, e := range events {
		if e.Outcome != OutcomeDone || e.Kind == KindRead || e.Kind == KindKeyed || e.Position.Term == 0 {
			continue
		}
		if groups[e.Group] == nil {
			groups[e.Group] = make(map[uint64]span)
		}
		s := groups[e.Group][e.Position.Term]
		if s.first.IsZero() || e.Completed.Before(s.first) {
			s.first = e.Completed
		}
		if e.Completed.After(s.last) {
			s.last = e.Completed
		}
		groups[e.Group][e.Position.Term] = s
	}
	longest := time.Duration(0)
	for _, terms := range groups {
		var order []uint64
		for t := range terms {
			order = append(order, t)
		}
		sort.Slice(order, func(i, j int) bool { return order[i] < order[j] })
		for i := 1; i < len(order); i++ {
			longest = max(longest, terms[order[i]].first.Sub(terms[order[i-1]].last))
		}
	}
	return longest
}

// compareTeams compares teams of equal rate, which have equal demand, except the hot
// one. It returns the lowest ratio of their served shares and of their p99 latencies.
func compareTeams(teams []TeamResult, hot string) (share, tail float64) {
	share, tail = 1, 1
	for _, a := range teams {
		for _, b := range teams {
			if a.Rate != b.Rate || a.Name == hot || b.Name == hot || a.Requests == 0 || b.Done == 0 || a.P99 == 0 {
				continue
			}
			share = min(share, float64(a.Done)/float64(a.Requests)/(float64(b.Done)/float64(b.Requests)))
			tail = min(tail, b.P99/a.P99)
		}
	}
	return share, tail
}

// countRoutedReads reads from an instance's metrics how many reads it has routed, and how
// many of them to replicas. Both are 0 if the metrics cannot be fetched.
func countRoutedReads(ctx context.Context, e Endpoint, mode route.Mode) (replica, reads int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Operator+"/metrics", nil)
	if err != nil {
		return 0, 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), "} ")
		if !ok || !strings.HasPrefix(name, "burdockseam_routed_total{") || strings.Contains(name, `reason="write"`) {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		reads += n
		// The baseline that reads anywhere routes all reads to replicas.
		if strings.Contains(name, `reason="replica"`) || mode == route.ModeAny && strings.Contains(name, `reason="baseline"`) {
			replica += n
		}
	}
	return replica, reads
}
