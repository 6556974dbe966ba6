package router

import "github.com/quetzalhitch/quetzalhitch/internal/registrar"

// maxGroups is the capacity of a groupSet. Further failure domains of a pool are
// not considered.
const maxGroups = 64

// A groupSet is a bit set of group indices.
type groupSet uint64

func (s *groupSet) add(i int) {
	*s |= 1 << i
}

func (s *groupSet) has(i int) bool {
	return *s&(1<<i) != 0
}

// A preference ranks failure domains; lower is better.
type preference int

const (
	preferOwnDomain   preference = iota // Has headroom, in the entry's own failure domain.
	preferOwnRegion                     // Has headroom, in the entry's own region.
	preferOtherRegion                   // Has headroom, in another region.
	preferFull                          // Has no headroom.
)

// bestGroup returns the index of the most preferred untried group that has
// candidates, or -1. Ties go to the lower load.
func (r *Router) bestGroup(pool *registrar.Pool, tried *groupSet) int {
	best := -1
	bestPreference := preferFull
	var bestLoad registrar.GroupLoad
	for i, g := range pool.Groups[:min(len(pool.Groups), maxGroups)] {
		if tried.has(i) || len(g.Candidates()) == 0 {
			continue
		}
		load := g.Load()
		p := r.preferenceOf(g, load)
		if best < 0 || p < bestPreference || (p == bestPreference && load.LessUtilized(bestLoad)) {
			best, bestPreference, bestLoad = i, p, load
		}
	}
	return best
}

func (r *Router) preferenceOf(g *registrar.Group, load registrar.GroupLoad) preference {
	switch {
	case !load.HasHeadroom():
		return preferFull
	case g.FailureDomain.Name == r.cfg.FailureDomain:
		return preferOwnDomain
	case g.FailureDomain.Region == r.cfg.Region:
		return preferOwnRegion
	default:
		return preferOtherRegion
	}
}
