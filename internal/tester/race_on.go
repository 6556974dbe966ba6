//go:build race

package tester

// raceEnabled says whether this program has the race detector.
const raceEnabled = true
