package overload

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"heronwick/internal/wait"
)

const (
	// schedulingLatencies is the runtime's distribution of how long goroutines
	// that were ready to run had to wait for the processor.
	schedulingLatencies = "/sched/latencies:seconds"
	// sampleInterval is how often the distribution is read.
	sampleInterval = 500 * time.Millisecond
	// quantile is the part of the goroutines that waited no longer than Latency.
	quantile = 0.9
)

// Meter measures the scheduling latency of this process. Its zero value is
// ready for use and reports no latency until Run has sampled for a while.
type Meter struct {
	latency  atomic.Int64 // nanoseconds
	previous []uint64     // counts of the histogram as last read
}

// Latency returns how long goroutines lately waited for a processor: nine of ten no
// longer than this. It is safe for concurrent use.
func (m *Meter) Latency() time.Duration { return time.Duration(m.latency.Load()) }

// Run samples the scheduling latency until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	samples := []metrics.Sample{{Name: schedulingLatencies}}
	return wait.Every(ctx, sampleInterval, func() {
		metrics.Read(samples)
		if samples[0].Value.Kind() == metrics.KindFloat64Histogram {
			m.observe(samples[0].Value.Float64Histogram())
		}
	})
}

// observe takes the cumulative histogram and keeps the quantile of what was added to
// it since the last call; zero if nothing was.
func (m *Meter) observe(h *metrics.Float64Histogram) {
	if len(m.previous) != len(h.Counts) {
		m.previous = make([]uint64, len(h.Counts))
	}
	var total uint64
	for i, count := range h.Counts {
		total += count - m.previous[i]
	}
	remaining := uint64(math.Ceil(float64(total) * quantile))
	latency := 0.0
	for i, count := range h.Counts {
		added := count - m.previous[i]
		m.previous[i] = count
		if remaining > 0 {
			latency = lowerBound(h, i)
		}
		remaining -= min(remaining, added)
	}
	m.latency.Store(int64(latency * float64(time.Second)))
}

// lowerBound returns where a bucket begins; the first may begin at -Inf.
func lowerBound(h *metrics.Float64Histogram, bucket int) float64 {
	return math.Max(0, h.Buckets[bucket])
}
