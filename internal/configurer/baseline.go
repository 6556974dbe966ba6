package configurer

// A Baseline is a simpler algorithm that an entry can run for comparison in
// measurements.
type Baseline string

// The baselines.
const (
	EqualShares  Baseline = "equal-shares" // Each entry gets a fixed, equal share of each rate.
	FirstCome    Baseline = "first-come"   // Batch work runs in the order of arrival.
	NoPreemption Baseline = "no-yield"     // Batch work keeps its slots when online requests arrive.
	RoundRobin   Baseline = "round-robin"  // Backend servers are chosen round-robin.
)

// Baselines returns all baselines, sorted.
func Baselines() []Baseline {
	return []Baseline{EqualShares, FirstCome, NoPreemption, RoundRobin}
}

// Experimental holds settings that exist only for measurements.
type Experimental struct {
	Baseline Baseline `toml:"baseline"` // Optional; empty means no baseline.
}
