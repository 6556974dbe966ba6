package archiver

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// A replicaSelector selects the disk instances of one object. It requires as many
// failure domains as the candidates have, up to the number of replicas: if no
// instance of a second failure domain can store a replica, the selector does not
// fall back to the first one.
type replicaSelector struct {
	count      int
	minDomains int                  // Number of failure domains that the replicas must span.
	candidates []registrar.Instance // Not tried yet, in order of preference.
	chosen     []registrar.Instance
}

// newReplicaSelector returns a selector of count replicas among the candidates
// and the existing instances, which already hold the object.
func newReplicaSelector(candidates, existing []registrar.Instance, count int) *replicaSelector {
	domains := make(map[string]bool)
	for _, instance := range candidates {
		domains[instance.FailureDomain] = true
	}
	for _, instance := range existing {
		domains[instance.FailureDomain] = true
	}
	return &replicaSelector{
		count:      count,
		minDomains: min(count, len(domains)),
		candidates: slices.Clone(candidates),
		chosen:     slices.Clone(existing),
	}
}

func (s *replicaSelector) complete() bool {
	return len(s.chosen) >= s.count
}

func (s *replicaSelector) add(instance registrar.Instance) {
	s.chosen = append(s.chosen, instance)
}

// nextTargets removes and returns the candidates to try for the missing replicas.
// It returns none if the replicas cannot be completed.
func (s *replicaSelector) nextTargets() (targets []registrar.Instance) {
	domains := make(map[string]bool)
	for _, instance := range s.chosen {
		domains[instance.FailureDomain] = true
	}
	for len(s.chosen)+len(targets) < s.count {
		missing := s.count - len(s.chosen) - len(targets)
		needsNewDomain := s.minDomains-len(domains) >= missing
		i := slices.IndexFunc(s.candidates, func(c registrar.Instance) bool {
			return !needsNewDomain || !domains[c.FailureDomain]
		})
		if i < 0 {
			return nil
		}
		target := s.candidates[i]
		s.candidates = slices.Delete(s.candidates, i, i+1)
		domains[target.FailureDomain] = true
		targets = append(targets, target)
	}
	return targets
}

func (s *replicaSelector) replicas() (ids []string) {
	for _, instance := range s.chosen {
		ids = append(ids, instance.ID)
	}
	slices.Sort(ids)
	return ids
}

// orderDisks orders disk instances by preference for an object: this instance
// first, then by rendezvous hashing of the group and the instance, which spreads
// groups evenly and keeps the objects of a group together.
func orderDisks(disks []registrar.Instance, own, name string) []registrar.Instance {
	group := GroupOf(name)
	weights := make(map[string]uint64, len(disks))
	for _, instance := range disks {
		h := fnv.New64a()
		_, _ = h.Write([]byte(group))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(instance.ID))
		weights[instance.ID] = h.Sum64()
	}
	ordered := slices.Clone(disks)
	slices.SortFunc(ordered, func(a, b registrar.Instance) int {
		switch {
		case a.ID == own:
			return -1
		case b.ID == own:
			return 1
		case weights[a.ID] != weights[b.ID]:
			if weights[a.ID] < weights[b.ID] {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return ordered
}
