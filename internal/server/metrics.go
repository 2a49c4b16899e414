package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Gauge is a metric whose value is read when the metrics are scraped.
type Gauge struct {
	// Name and Help are the metric's, in Prometheus' form.
	Name, Help string
	// Value returns the current value. It must be safe for concurrent use.
	Value func() float64
}

// metrics counts the responses. Everything else is read only when the metrics
// are scraped, so that metrics that nobody reads cost nothing.
type metrics struct {
	responses *prometheus.CounterVec
	serve     fasthttp.RequestHandler
}

// newMetrics registers the counter of responses and the gauges with a registry
// of its own.
func newMetrics(gauges []Gauge) *metrics {
	registry := prometheus.NewRegistry()
	m := &metrics{responses: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heronwick_answers_total", Help: "Answers by kind of request and status.",
	}, []string{"request", "status"})}
	registry.MustRegister(m.responses)
	for _, gauge := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.Name, Help: gauge.Help}, gauge.Value))
	}
	m.serve = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return m
}
