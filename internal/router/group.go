package router

import "github.com/quetzalhitch/quetzalhitch/internal/registrar"

// maxGroups is the number of failure domains that a decision can tell apart.
const maxGroups = 64

// A groupSet is a set of indices of groups.
type groupSet uint64

func (s *groupSet) add(i int) {
	*s |= 1 << i
}

func (s *groupSet) has(i int) bool {
	return *s&(1<<i) != 0
}

// A tier orders failure domains; lower is better.
type tier int

const (
	tierOwn         tier = iota // The own failure domain has room.
	tierOwnRegion               // Another one of the own region has room.
	tierOtherRegion             // One of another region has room.
	tierFull                    // No room; the lowest load decides.
)

// bestGroup is the index of the best group with candidates that was not tried,
// or -1.
func (r *Router) bestGroup(pool *registrar.Pool, tried *groupSet) int {
	best := -1
	bestTier := tierFull
	var bestLoad registrar.GroupLoad
	for i, g := range pool.Groups[:min(len(pool.Groups), maxGroups)] {
		if tried.has(i) || len(g.Candidates()) == 0 {
			continue
		}
		load := g.Load()
		t := r.tier(g, load)
		if best < 0 || t < bestTier || (t == bestTier && load.LessUtilized(bestLoad)) {
			best, bestTier, bestLoad = i, t, load
		}
	}
	return best
}

func (r *Router) tier(g *registrar.Group, load registrar.GroupLoad) tier {
	switch {
	case !load.HasHeadroom():
		return tierFull
	case g.FailureDomain.Name == r.cfg.FailureDomain:
		return tierOwn
	case g.FailureDomain.Region == r.cfg.Region:
		return tierOwnRegion
	default:
		return tierOtherRegion
	}
}
