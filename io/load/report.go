package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/template"
)

// Violations returns the number of violations of all promises.
func (r Result) Violations() int {
	n := 0
	for _, v := range r.BrokenPromises {
		n += v
	}
	return n
}

// ratio returns n/of, or 0 if of is 0.
func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// WriteText writes the result as text for people.
func (r Result) WriteText(out io.Writer) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("%s, %s: %.0f s at %.0f requests/s, seed %d", r.Deployment, r.Scenario, r.Seconds, r.Rate, r.Seed)
	for _, m := range r.Marks {
		line("  %5.1fs %s", m.At.Seconds(), m.Text)
	}
	line("requests %d: done %d, refused %d, unknown %d, failed %d, unsent %d, moved %d", r.Requests, r.Done, r.Refused, r.Unknown, r.Failed, r.Unsent, r.RetriedElsewhere)
	line("latency p50 %.1f ms, p99 %.1f ms, maximum %.1f ms", r.P50, r.P99, r.Max)
	line("reads served by replicas: %.3f (%d of %d)", ratio(r.ReplicaReads, r.Reads), r.ReplicaReads, r.Reads)
	line("failover gap: %.0f ms", r.Gap)
	line("worst-served team at equal demand: share %.3f, p99 %.3f", r.ShareRatio, r.P99Ratio)
	line("refused inside the rate: %d of %d (for the rate: %d)", r.WrongfulRefusals, r.Requests, r.RateRefusals)
	if r.DomainMove != nil {
		line("while the failure domain moved: refused %d, failed %d, delayed %d of %d", r.DomainMove.Refused, r.DomainMove.Failed, r.DomainMove.Delayed, r.DomainMove.Requests)
	}
	for _, t := range r.Teams {
		line("  %-18s rate %3d: %5d of %5d done, p99 %.1f ms", t.Name, t.Rate, t.Done, t.Requests, t.P99)
	}
	for _, reason := range sortedKeys(r.Reasons) {
		line("  %5d %s", r.Reasons[reason], reason)
	}
	for _, p := range Promises {
		line("%-40s %d", p, r.BrokenPromises[p])
	}
	for _, n := range r.Notes {
		line("note: %s", n)
	}
	_, err := io.WriteString(out, b.String())
	return Error.Wrap(err)
}

func sortedKeys(m map[string]int) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// Sizes of the plot in pixels.
const (
	plotWidth   = 900
	panelHeight = 120
	panelGap    = 40
)

// plotPanel is one curve of the plot.
type plotPanel struct {
	Title string
	Top   int    // y of the title
	Line  string // points of the curve
	Max   float64
}

var plot = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
<text x="10" y="18">{{.Title}}</text>
{{range .Panels}}<text x="10" y="{{.Top}}">{{.Title}} (maximum {{printf "%.1f" .Max}})</text>
<polyline fill="none" stroke="steelblue" points="{{.Line}}"/>
{{end}}{{range .Marks}}<line x1="{{printf "%.1f" .X}}" x2="{{printf "%.1f" .X}}" y1="30" y2="{{$.Height}}" stroke="firebrick" stroke-dasharray="4"/>
<text x="{{printf "%.1f" .X}}" y="{{.Y}}" fill="firebrick" font-size="9">{{html .Text}}</text>
{{end}}</svg>
`))

// SVG draws throughput, p99 latency and errors over time, and marks the moments of the
// fault.
func (r Result) SVG(out io.Writer) error {
	type mark struct {
		X    float64
		Y    int
		Text string
	}
	x := func(at float64) float64 { return 10 + at/max(r.Seconds, 1)*(plotWidth-20) }
	var panels []plotPanel
	for i, of := range []struct {
		title string
		value func(Point) float64
	}{
		{"requests done per second", func(p Point) float64 { return float64(p.Done) / pointInterval.Seconds() }},
		{"p99, ms", func(p Point) float64 { return p.P99 }},
		{"errors per second", func(p Point) float64 { return float64(p.Errors) / pointInterval.Seconds() }},
	} {
		top := 40 + i*(panelHeight+panelGap)
		p := plotPanel{Title: of.title, Top: top}
		for _, point := range r.Series {
			p.Max = max(p.Max, of.value(point))
		}
		var line strings.Builder
		for _, point := range r.Series {
			fmt.Fprintf(&line, "%.1f,%.1f ", x(point.At), float64(top+panelHeight)-of.value(point)/max(p.Max, 1)*(panelHeight-15))
		}
		p.Line = line.String()
		panels = append(panels, p)
	}
	var marks []mark
	for i, m := range r.Marks {
		marks = append(marks, mark{x(m.At.Seconds()), 52 + i%8*10, m.Text})
	}
	return Error.Wrap(plot.Execute(out, map[string]any{
		"Width": plotWidth, "Height": 40 + 3*(panelHeight+panelGap), "Panels": panels, "Marks": marks,
		"Title": fmt.Sprintf("%s, %s, seed %d", r.Deployment, r.Scenario, r.Seed),
	}))
}
