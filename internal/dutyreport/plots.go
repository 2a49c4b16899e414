package dutyreport

import (
	"bytes"
	"fmt"
	"html/template"
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

// Sizes of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// legendFraction is the width that is left free for the legend at the right, as a fraction
	// of the X range that the events span.
	legendFraction = 0.25
)

// timeline is a list of events, oldest first, with the time range that they span.
type timeline struct {
	events       []wire.DutyEvent
	began, ended time.Time // times of the first and the last event; zero if there are no events
}

// newTimeline returns the timeline of events, which it sorts by time.
func newTimeline(events []wire.DutyEvent) timeline {
	tl := timeline{events: slices.SortedFunc(slices.Values(events), func(a, b wire.DutyEvent) int { return a.At.Compare(b.At) })}
	if count := len(tl.events); count > 0 {
		tl.began, tl.ended = tl.events[0].At, tl.events[count-1].At
	}
	return tl
}

// span returns the seconds between the first and the last event.
func (tl timeline) span() float64 { return tl.ended.Sub(tl.began).Seconds() }

// offset returns the seconds between the first event and the given one.
func (tl timeline) offset(event wire.DutyEvent) float64 { return event.At.Sub(tl.began).Seconds() }

// newPlot returns an empty plot whose X axis covers the timeline and whose Y axis has the
// label unit.
func (tl timeline) newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first event", unit
	p.X.Min, p.X.Max = 0, max(1, tl.span())*(1+legendFraction)
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	return p
}

// plots returns the plots of the page as SVG elements.
func (tl timeline) plots() ([]template.HTML, error) {
	handovers, err := tl.handoverPlot()
	if err != nil {
		return nil, err
	}
	refusals, err := tl.countPlot("Refusals, and returns without an intent", duty.EventRefused, duty.EventUnrecorded)
	if err != nil {
		return nil, err
	}
	intents, err := tl.countPlot("Intents", duty.EventReturnRecorded, duty.EventReturned, duty.EventRentalRecorded, duty.EventRented, duty.EventClosed)
	if err != nil {
		return nil, err
	}
	return []template.HTML{handovers, refusals, intents}, nil
}

// handoverPlot returns a plot of how long controllers waited to acquire each duty, over time.
func (tl timeline) handoverPlot() (template.HTML, error) {
	p := tl.newPlot("Time to acquire a duty", "seconds")
	pointsByName := map[string]plotter.XYs{}
	for _, event := range tl.events {
		if event.Kind == string(duty.EventAcquired) {
			name, _, _ := strings.Cut(event.Duty, "/")
			pointsByName[name] = append(pointsByName[name], plotter.XY{X: tl.offset(event), Y: event.TookS})
		}
	}
	for i, name := range slices.Sorted(maps.Keys(pointsByName)) {
		scatter, err := plotter.NewScatter(pointsByName[name])
		if err != nil {
			return "", fmt.Errorf("plotting handovers of %s: %w", name, err)
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(scatter)
		p.Legend.Add(name, scatter)
	}
	return renderSVG(p)
}

// countPlot returns a plot of the cumulative count of each kind of event over time.
func (tl timeline) countPlot(title string, kinds ...duty.EventKind) (template.HTML, error) {
	p := tl.newPlot(title, "events")
	for i, kind := range kinds {
		points := plotter.XYs{{}}
		for _, event := range tl.events {
			if event.Kind == string(kind) {
				points = append(points, plotter.XY{X: tl.offset(event), Y: float64(len(points))})
			}
		}
		points = append(points, plotter.XY{X: tl.span(), Y: float64(len(points) - 1)})
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plotting events of kind %s: %w", kind, err)
		}
		line.Color, line.StepStyle = plotutil.Color(i), plotter.PostStep
		p.Add(line)
		p.Legend.Add(string(kind), line)
	}
	return renderSVG(p)
}

// renderSVG returns a plot as an SVG element without an XML header, so that it can be embedded
// in HTML.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", fmt.Errorf("drawing a plot: %w", err)
	}
	_, body, _ := bytes.Cut(text.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body)), nil
}
