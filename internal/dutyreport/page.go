package dutyreport

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"heronwick/wire"
)

// summaryRow is a row of the page's table: the durations of the events of one kind of one
// duty.
type summaryRow struct {
	Duty, Kind string
	Quantiles
}

// summarize returns a row for each duty and kind of event, sorted by duty and then by kind.
func summarize(events []wire.DutyEvent) []summaryRow {
	type group struct{ duty, kind string }
	seconds := map[group][]float64{}
	for _, event := range events {
		key := group{event.Duty, event.Kind}
		seconds[key] = append(seconds[key], event.TookS)
	}
	var rows []summaryRow
	for key, took := range seconds {
		rows = append(rows, summaryRow{Duty: key.duty, Kind: key.kind, Quantiles: QuantilesOf(took)})
	}
	slices.SortFunc(rows, func(a, b summaryRow) int { return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Kind, b.Kind)) })
	return rows
}

// countNodes returns the number of nodes that the events come from.
func countNodes(events []wire.DutyEvent) int {
	nodes := map[string]bool{}
	for _, event := range events {
		nodes[event.Node] = true
	}
	return len(nodes)
}

// pageContent is the data of the page's template.
type pageContent struct {
	Events, Nodes int    // number of events, and of nodes that they come from
	From, To      string // RFC 3339 times of the first and last event; "" if there are no events
	Plots         []template.HTML
	Rows          []summaryRow
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

// WritePage writes an HTML page about events, which may be in any order. The page has three
// plots, and a table of the events by duty and kind.
func WritePage(w io.Writer, events []wire.DutyEvent) error {
	tl := newTimeline(events)
	plots, err := tl.plots()
	if err != nil {
		return err
	}
	content := pageContent{Events: len(events), Nodes: countNodes(events), Plots: plots, Rows: summarize(tl.events)}
	if len(events) > 0 {
		content.From, content.To = tl.began.UTC().Format(time.RFC3339), tl.ended.UTC().Format(time.RFC3339)
	}
	if err := page.Execute(w, content); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}
