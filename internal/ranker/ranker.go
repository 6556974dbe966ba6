// Package ranker chooses instances by hash, so that all instances that know the same
// members choose the same ones without a message.
package ranker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Highest returns the n members with the highest hashes for a key, the highest first. A
// member that is added or removed changes the choice for few keys.
func Highest(key string, members []string, n int) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		switch x, y := rank(key, a), rank(key, b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return ranked[:min(len(ranked), n)]
}

func rank(key, member string) uint64 { return xxhash.Sum64String(key + "\x00" + member) }
