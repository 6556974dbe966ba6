package enroller

import (
	"maps"
	"slices"
)

const (
	// maxStoreFollowers is the number of instances that follow the store themselves, one
	// in each of as many failure domains. The others cover for the first.
	maxStoreFollowers = 3
	// minSharedFleetSize is the number of instances from which on some take their copies
	// from others. In a small fleet each one follows the store: taking copies saves
	// few calls there, and a change is known sooner.
	minSharedFleetSize = 8
)

// Position is the place of an instance among those of its failure domain that
// do not leave, in the order of their IDs, and their number.
func (m Member) Position(peers []Member) (index, count int) {
	count = 1
	for _, peer := range peers {
		if peer.FailureDomain != m.FailureDomain || peer.Leaving {
			continue
		}
		count++
		if peer.ID < m.ID {
			index++
		}
	}
	return index, count
}

// Scouts are the IDs of the instances that follow the store for this one: the
// first ones of some failure domains, and the first one of its own for the time
// in which none of those is heard. There are none for an instance that has to
// follow the store itself.
func (m Member) StoreFollowers(peers []Member) (ids []string) {
	first := map[string]string{m.FailureDomain: m.ID} // By failure domain.
	present := 1
	for _, peer := range peers {
		if peer.Leaving {
			continue
		}
		present++
		if id, ok := first[peer.FailureDomain]; !ok || peer.ID < id {
			first[peer.FailureDomain] = peer.ID
		}
	}
	if present < minSharedFleetSize {
		return nil
	}
	domains := slices.Sorted(maps.Keys(first))
	for _, domain := range domains[:min(len(domains), maxStoreFollowers)] {
		ids = append(ids, first[domain])
	}
	if slices.Contains(ids, m.ID) {
		return nil
	}
	if own := first[m.FailureDomain]; own != m.ID && !slices.Contains(ids, own) {
		ids = append(ids, own)
	}
	return ids
}
