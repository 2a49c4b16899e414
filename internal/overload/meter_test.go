package overload

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"
)

// The latency covers the last interval only. The runtime's histogram is cumulative, so
// without the difference a process that was once overloaded would appear overloaded
// forever.
func TestLatencyCoversLastIntervalOnly(t *testing.T) {
	buckets := []float64{math.Inf(-1), 0.001, 0.1, 1, math.Inf(1)}
	var m Meter
	for _, step := range []struct {
		name   string
		counts []uint64
		want   time.Duration
	}{
		{"no samples", []uint64{0, 0, 0, 0}, 0},
		{"none late", []uint64{10, 0, 0, 0}, 0},
		{"one of ten late", []uint64{19, 0, 1, 0}, 0},
		{"two of ten late", []uint64{27, 0, 3, 0}, 100 * time.Millisecond},
		{"nine of ten very late", []uint64{28, 0, 3, 9}, time.Second},
		{"none late again", []uint64{38, 0, 3, 9}, 0},
		{"no new samples", []uint64{38, 0, 3, 9}, 0},
	} {
		m.observe(&metrics.Float64Histogram{Counts: step.counts, Buckets: buckets})
		if got := m.Latency(); got != step.want {
			t.Errorf("%s: latency %v, want %v", step.name, got, step.want)
		}
	}
}
