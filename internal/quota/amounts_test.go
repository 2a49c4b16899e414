package quota

import (
	"testing"

	"heronwick/internal/placement"
)

// Guards against a sum of decimal amounts that keeps a rest once all of a million tasks that were
// counted at the same time are gone.
func TestSumOfMillionAmountsLeavesNoRest(t *testing.T) {
	const tasks = 1_000_000
	amounts := []float64{0.1, 0.2, 0.7, 1.0 / 3, 2.0 / 3, 1.1, 2.35, 4.35, 1e-6}
	size := func(i int) placement.Resources {
		return placement.Resources{CPUs: amounts[i%len(amounts)], GPUs: amounts[(i+1)%len(amounts)]}
	}
	var used Amounts
	for i := range tasks {
		used = used.plus(AmountsOf(size(i), 1))
	}
	for i := range tasks {
		used = used.minus(AmountsOf(size(i), 1))
	}
	if !used.isZero() {
		t.Errorf("got %v left, want nothing", used)
	}
}
