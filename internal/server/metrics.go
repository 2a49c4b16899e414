package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const pathMetrics = "/metrics"

// Gauge is a value that is read when the metrics are asked for.
type Gauge struct {
	Name, Help string
	Value      func() float64
}

// metrics counts what was answered. Everything else is read only when asked
// for, so that nobody pays for metrics that nobody reads.
type metrics struct {
	answers *prometheus.CounterVec
	serve   fasthttp.RequestHandler
}

func newMetrics(gauges []Gauge) *metrics {
	registry := prometheus.NewRegistry()
	m := &metrics{answers: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heronwick_answers_total", Help: "Answers by kind of request and status.",
	}, []string{"request", "status"})}
	registry.MustRegister(m.answers)
	for _, g := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.Name, Help: g.Help}, g.Value))
	}
	m.serve = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return m
}
