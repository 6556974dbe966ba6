package enroller

import (
	"maps"
	"slices"
)

const (
	// maxStoreFollowers is the maximum number of instances that follow the store for
	// the fleet, each in another failure domain. All but the first are backups.
	maxStoreFollowers = 3
	// minSharedFleetSize is the fleet size from which instances get their copies from
	// the store followers. In a smaller fleet each instance follows the store, because
	// sharing would save few calls and delay changes.
	minSharedFleetSize = 8
)

// Position returns the index of an instance, in the order of IDs, among the instances
// of its failure domain that are not leaving, and their number.
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

// StoreFollowers returns the IDs of the instances that follow the store for this one:
// the first instances of up to maxStoreFollowers failure domains, and the first one of
// its own failure domain as a fallback if it receives reports from none of them. It
// returns none for an instance that follows the store itself.
func (m Member) StoreFollowers(peers []Member) (ids []string) {
	first := map[string]string{m.FailureDomain: m.ID} // First ID by failure domain.
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
