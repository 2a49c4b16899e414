package soak

import (
	"fmt"
	"math"
	"strings"
)

// team is a team with its guarantee and its limit. A limit of 0 means none.
type team struct {
	name                         string
	cpus, cpusMax, gpus, gpusMax float64
}

// baseWorkers is the number of machines that the limits of baseTeams are meant for.
const baseWorkers = 12

// baseTeams are the teams of a run with baseWorkers machines. All but the last are limited so
// low that they stay at their limits.
var baseTeams = []team{
	{name: "cpus", cpus: 8, cpusMax: 20},
	{name: "few-cpus", cpusMax: 9.5},
	{name: "gpus", cpus: 4, gpus: 2, gpusMax: 6},
	{name: "both", cpusMax: 14, gpusMax: 4},
	{name: "open", cpus: 16},
}

// teamsFor returns the teams of a run with a number of machines.
func teamsFor(workers int) []team {
	factor := math.Max(1, float64(workers)/baseWorkers)
	teams := make([]team, len(baseTeams))
	for i, t := range baseTeams {
		teams[i] = team{t.name, t.cpus * factor, t.cpusMax * factor, t.gpus * factor, t.gpusMax * factor}
	}
	return teams
}

// quotas returns the limits of the teams that have one, in CPUs and in GPUs.
func quotas(teams []team) (cpus, gpus map[string]float64) {
	cpus, gpus = map[string]float64{}, map[string]float64{}
	for _, t := range teams {
		if t.cpusMax > 0 {
			cpus[t.name] = t.cpusMax
		}
		if t.gpusMax > 0 {
			gpus[t.name] = t.gpusMax
		}
	}
	return cpus, gpus
}

// writeTeams writes the teams' part of a settings file. The limits are multiplied by a factor.
func writeTeams(text *strings.Builder, teams []team, limitFactor float64) {
	for _, t := range teams {
		fmt.Fprintf(text, "[[cluster.teams]]\nname = %q\ncpus = %.3f\ncpus_max = %.3f\ngpus = %.3f\ngpus_max = %.3f\n",
			t.name, t.cpus, t.cpusMax*limitFactor, t.gpus, t.gpusMax*limitFactor)
	}
}
