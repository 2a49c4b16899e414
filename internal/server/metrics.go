package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Gauge is a metric whose value is read when the metrics are scraped.
type Gauge struct {
	// Name and Help are the name and the help text of the Prometheus metric.
	Name, Help string
	// Labels distinguish gauges of the same name.
	Labels map[string]string
	// Value returns the current value. It must be safe for concurrent use.
	Value func() float64
}

// metrics counts the responses. All other values are computed only when the metrics are
// scraped, so that they cost nothing while nobody scrapes them.
type metrics struct {
	responses *prometheus.CounterVec
	serve     fasthttp.RequestHandler
}

// newMetrics registers the response counter and the gauges with a new registry.
func newMetrics(gauges []Gauge) *metrics {
	registry := prometheus.NewRegistry()
	m := &metrics{responses: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heronwick_answers_total", Help: "Answers by kind of request and status.",
	}, []string{"request", "status"})}
	registry.MustRegister(m.responses)
	for _, gauge := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.Name, Help: gauge.Help, ConstLabels: gauge.Labels}, gauge.Value))
	}
	m.serve = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return m
}
