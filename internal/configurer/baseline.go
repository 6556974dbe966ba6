package configurer

// A Baseline is a simpler behaviour that an entry can be started with, to be
// measured against.
type Baseline string

// The baselines.
const (
	EqualShares Baseline = "equal-shares" // Each entry has an equal fixed part of each rate.
	FirstCome   Baseline = "first-come"   // Batch work runs in the order in which it came.
	NoYield     Baseline = "no-yield"     // Batch work keeps its place when online requests come.
	RoundRobin  Baseline = "round-robin"  // Backend servers are taken in turn.
)

// Baselines returns all baselines, sorted.
func Baselines() []Baseline {
	return []Baseline{EqualShares, FirstCome, NoYield, RoundRobin}
}

// Experimental settings choose behaviour that exists only to be measured
// against.
type Experimental struct {
	Baseline Baseline `toml:"baseline"` // Optional; empty is the system as it is.
}
