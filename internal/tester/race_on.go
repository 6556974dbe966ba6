//go:build race

package tester

// raceEnabled reports whether this program has the race detector.
const raceEnabled = true
