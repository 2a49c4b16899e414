package placement

import (
	"testing"

	"heronwick/wire"
)

// A task may run only in pools that the job allows, and only if the zones of its other
// tasks satisfy the job's constraints on zones.
func TestAllows(t *testing.T) {
	north := "north"
	job := wire.Job{Tasks: 5}
	for _, test := range []struct {
		name   string
		change func(*wire.Job)
		pool   Pool
		others map[string]int
		want   bool
	}{
		{"no constraints", func(*wire.Job) {}, Pool{}, nil, true},
		{"spot machine not allowed", func(*wire.Job) {}, Pool{Spot: true}, nil, false},
		{"spot machine allowed", func(j *wire.Job) { j.Spot = true }, Pool{Spot: true}, nil, true},
		{"other zone", func(j *wire.Job) { j.Zone = &north }, Pool{Zone: "south"}, nil, false},
		{"other type", func(j *wire.Job) { j.Types = []string{"big"} }, Pool{Type: "small"}, nil, false},
		{"spread, third of five", func(j *wire.Job) { j.Spread = true }, Pool{Zone: "north"}, map[string]int{"north": 2}, true},
		{"spread, fourth of five", func(j *wire.Job) { j.Spread = true }, Pool{Zone: "north"}, map[string]int{"north": 3}, false},
		{"one zone, same zone", func(j *wire.Job) { j.OneZone = true }, Pool{Zone: "north"}, map[string]int{"north": 1, "south": 0}, true},
		{"one zone, second zone", func(j *wire.Job) { j.OneZone = true }, Pool{Zone: "north"}, map[string]int{"south": 1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := job
			test.change(&j)
			if got := Allows(&j, test.pool, Spread{ByZone: test.others}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
