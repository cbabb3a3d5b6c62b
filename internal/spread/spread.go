// Package spread estimates how work that a process does not know of yet is distributed over
// targets, so that processes with the same stale information do not all choose the target that
// seems idle. The package does no I/O.
package spread

import "math"

// Level returns the cost up to which work fills targets of the given costs if each piece of it
// goes where the cost is least: the sum over all targets of how far they lie under the level is
// the work. It is infinite without targets.
func Level(costs []float64, work float64) float64 {
	least := math.Inf(1)
	for _, c := range costs {
		least = min(least, c)
	}
	if math.IsInf(least, 1) || work <= 0 {
		return least
	}
	// The filled volume is convex in the level, so that Newton's method approaches the level
	// from above without passing it.
	level := least + work
	for range maxSteps {
		volume, filled := 0.0, 0.0
		for _, c := range costs {
			if c < level {
				volume += level - c
				filled++
			}
		}
		over := volume - work
		if filled == 0 || over <= work*levelTolerance {
			break
		}
		level -= over / filled
	}
	return level
}

const (
	// maxSteps limits the steps of Level; each passes over all targets.
	maxSteps = 16
	// levelTolerance is the relative error of the work that fills a level.
	levelTolerance = 0.01
)
