package dutyreport

import (
	"fmt"
	"slices"
	"time"
)

// Quantiles summarize a set of durations, rounded to microseconds.
type Quantiles struct {
	Count                int // number of durations
	Median, P99, Longest time.Duration
}

// String returns the quantiles on one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("median %v, 99%% %v, longest %v of %d", q.Median, q.P99, q.Longest, q.Count)
}

// QuantilesOf returns the quantiles of durations that are given in seconds. All quantiles are
// 0 if there are no durations.
func QuantilesOf(seconds []float64) Quantiles {
	if len(seconds) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(seconds))
	quantile := func(fraction float64) time.Duration {
		i := min(len(sorted)-1, int(fraction*float64(len(sorted))))
		return time.Duration(sorted[i] * float64(time.Second)).Round(time.Microsecond)
	}
	return Quantiles{Count: len(sorted), Median: quantile(0.5), P99: quantile(0.99), Longest: quantile(1)}
}
