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
	first, present := m.firstOfDomains(peers)
	if present < minSharedFleetSize {
		return nil
	}
	ids = storeFollowersOf(first)
	if slices.Contains(ids, m.ID) {
		return nil
	}
	if own := first[m.FailureDomain]; own != m.ID && !slices.Contains(ids, own) {
		ids = append(ids, own)
	}
	return ids
}

// FollowerTurn returns the index of an instance among those that follow the store, and
// their number. An instance that does not follow it has a turn of its own.
func (m Member) FollowerTurn(peers []Member) (index, count int) {
	var ids []string
	first, present := m.firstOfDomains(peers)
	switch cell := m.Cell(peers); {
	case len(cell.Aggregators) > 0:
		ids = cell.Aggregators
	case present >= minSharedFleetSize:
		ids = storeFollowersOf(first)
	default:
		ids = []string{m.ID}
		for _, peer := range peers {
			if !peer.Leaving {
				ids = append(ids, peer.ID)
			}
		}
	}
	slices.Sort(ids)
	if index = slices.Index(ids, m.ID); index < 0 {
		return 0, 1
	}
	return index, len(ids)
}

// firstOfDomains returns the lowest ID in each failure domain, and the number of
// instances, without those that are leaving.
func (m Member) firstOfDomains(peers []Member) (first map[string]string, present int) {
	first = map[string]string{m.FailureDomain: m.ID}
	present = 1
	for _, peer := range peers {
		if peer.Leaving {
			continue
		}
		present++
		if id, ok := first[peer.FailureDomain]; !ok || peer.ID < id {
			first[peer.FailureDomain] = peer.ID
		}
	}
	return first, present
}

// storeFollowersOf returns the first instances of up to maxStoreFollowers failure
// domains.
func storeFollowersOf(first map[string]string) (ids []string) {
	domains := slices.Sorted(maps.Keys(first))
	for _, domain := range domains[:min(len(domains), maxStoreFollowers)] {
		ids = append(ids, first[domain])
	}
	return ids
}
