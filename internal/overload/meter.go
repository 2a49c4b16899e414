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
	// schedulingLatencies is the name of the runtime's histogram of the times that
	// goroutines spent runnable before they ran.
	schedulingLatencies = "/sched/latencies:seconds"
	// sampleInterval is the interval at which the histogram is read.
	sampleInterval = 500 * time.Millisecond
	// quantile is the quantile of the latencies that Latency returns.
	quantile = 0.9
)

// Meter measures the scheduling latency of this process. Its zero value is
// ready for use and reports no latency until Run has sampled for a while.
type Meter struct {
	latency  atomic.Int64 // nanoseconds
	previous []uint64     // counts of the histogram at the previous sample
}

// Latency returns the 90th percentile of the times that goroutines waited for a
// processor during the last sample interval. It is safe for concurrent use.
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

// observe sets the latency to the quantile of the values that were added to the
// cumulative histogram since the previous call, or to zero if there are none.
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

// lowerBound returns the lower bound of a bucket, or zero if that is -Inf, as it may be
// for the first bucket.
func lowerBound(h *metrics.Float64Histogram, bucket int) float64 {
	return math.Max(0, h.Buckets[bucket])
}
