package dutyreport

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"heronwick/internal/duty"
	"heronwick/wire"
)

// Quantiles are how long something took.
type Quantiles struct {
	Count                int
	Median, P99, Longest time.Duration
}

// String implements fmt.Stringer.
func (q Quantiles) String() string {
	return fmt.Sprintf("median %v, 99%% %v, longest %v of %d", q.Median, q.P99, q.Longest, q.Count)
}

// QuantilesOf returns the quantiles of times in seconds.
func QuantilesOf(seconds []float64) Quantiles {
	if len(seconds) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(seconds))
	at := func(part float64) time.Duration {
		i := min(len(sorted)-1, int(part*float64(len(sorted))))
		return time.Duration(sorted[i] * float64(time.Second)).Round(time.Microsecond)
	}
	return Quantiles{Count: len(sorted), Median: at(0.5), P99: at(0.99), Longest: at(1)}
}

// summaryRow is what the page's table tells of one kind of event of one duty.
type summaryRow struct {
	Duty, Kind string
	Quantiles
}

// summarize groups events by duty and kind.
func summarize(events []wire.DutyEvent) []summaryRow {
	type group struct{ duty, kind string }
	took := map[group][]float64{}
	for _, e := range events {
		g := group{e.Duty, e.Kind}
		took[g] = append(took[g], e.TookS)
	}
	var rows []summaryRow
	for g, seconds := range took {
		rows = append(rows, summaryRow{Duty: g.duty, Kind: g.kind, Quantiles: QuantilesOf(seconds)})
	}
	slices.SortFunc(rows, func(a, b summaryRow) int { return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Kind, b.Kind)) })
	return rows
}

// Sizes of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// newPlot makes a plot over the time of events, with room for a legend at its right.
func newPlot(title, unit string, span time.Duration) *plot.Plot {
	const legendPart = 0.25
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first event", unit
	p.X.Min, p.X.Max = 0, max(1, span.Seconds())*(1+legendPart)
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	return p
}

// handoverPlot shows how long each duty took to be acquired, over time.
func handoverPlot(events []wire.DutyEvent, began time.Time, span time.Duration) (template.HTML, error) {
	p := newPlot("From being due to being held", "seconds", span)
	byName := map[string]plotter.XYs{}
	for _, e := range events {
		if e.Kind == string(duty.EventAcquired) {
			name, _, _ := strings.Cut(e.Duty, "/")
			byName[name] = append(byName[name], plotter.XY{X: e.At.Sub(began).Seconds(), Y: e.TookS})
		}
	}
	for i, name := range slices.Sorted(maps.Keys(byName)) {
		scatter, err := plotter.NewScatter(byName[name])
		if err != nil {
			return "", fmt.Errorf("plotting handovers: %w", err)
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(scatter)
		p.Legend.Add(name, scatter)
	}
	return svg(p)
}

// countPlot shows how many events of some kinds there were up to each moment.
func countPlot(title string, events []wire.DutyEvent, began time.Time, span time.Duration, kinds ...duty.EventKind) (template.HTML, error) {
	p := newPlot(title, "events", span)
	for i, kind := range kinds {
		points := plotter.XYs{{}}
		for _, e := range events {
			if e.Kind == string(kind) {
				points = append(points, plotter.XY{X: e.At.Sub(began).Seconds(), Y: float64(len(points))})
			}
		}
		points = append(points, plotter.XY{X: span.Seconds(), Y: float64(len(points) - 1)})
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plotting events: %w", err)
		}
		line.Color, line.StepStyle = plotutil.Color(i), plotter.PostStep
		p.Add(line)
		p.Legend.Add(string(kind), line)
	}
	return svg(p)
}

func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", fmt.Errorf("drawing a plot: %w", err)
	}
	_, body, _ := bytes.Cut(text.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body)), nil
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Single duties</title>
<style>body{font:15px sans-serif;margin:2em auto;max-width:60em}table{border-collapse:collapse}td,th{border:1px solid #aaa;padding:.2em .6em;text-align:right}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}</style>
</head><body>
<h1>Single duties</h1>
<p>{{.Events}} events of {{.Nodes}} controllers, from {{.From}} to {{.To}}.</p>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}<table><tr><th>duty</th><th>event</th><th>count</th><th>median</th><th>99%</th><th>longest</th></tr>
{{range .Rows}}<tr><td>{{.Duty}}</td><td>{{.Kind}}</td><td>{{.Count}}</td><td>{{.Median}}</td><td>{{.P99}}</td><td>{{.Longest}}</td></tr>
{{end}}</table>
</body></html>
`))

// WritePage writes the page of events.
func WritePage(w io.Writer, events []wire.DutyEvent) error {
	events = slices.SortedFunc(slices.Values(events), func(a, b wire.DutyEvent) int { return a.At.Compare(b.At) })
	content := struct {
		Events, Nodes int
		From, To      string
		Plots         []template.HTML
		Rows          []summaryRow
	}{Events: len(events), Rows: summarize(events)}
	var began, ended time.Time
	if len(events) > 0 {
		began, ended = events[0].At, events[len(events)-1].At
		content.From, content.To = began.UTC().Format(time.RFC3339), ended.UTC().Format(time.RFC3339)
	}
	span := ended.Sub(began)
	nodes := map[string]bool{}
	for _, e := range events {
		nodes[e.Node] = true
	}
	content.Nodes = len(nodes)
	handovers, err := handoverPlot(events, began, span)
	if err != nil {
		return err
	}
	refusals, err := countPlot("Refusals, and returns without a record", events, began, span, duty.EventRefused, duty.EventUnrecorded)
	if err != nil {
		return err
	}
	intents, err := countPlot("Intents", events, began, span, duty.EventReturnRecorded, duty.EventReturned, duty.EventRentalRecorded, duty.EventRented, duty.EventClosed)
	if err != nil {
		return err
	}
	content.Plots = []template.HTML{handovers, refusals, intents}
	return page.Execute(w, content)
}
