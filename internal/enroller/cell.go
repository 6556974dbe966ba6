package enroller

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSingleCellSize is the fleet size up to which all instances exchange reports
	// with each other. The number of pairs grows with the square of the fleet size.
	maxSingleCellSize = 40
	// targetCellSize is the approximate number of instances of a cell. It is the square
	// root of the largest fleet size, so that there are about as many cells as instances
	// in a cell.
	targetCellSize = 16
	// aggregatorsPerCell is the maximum number of aggregators of a cell. The second one
	// is the backup of the first.
	aggregatorsPerCell = 2
)

// A Cell is the set of instances with which an instance of a large fleet exchanges
// reports. A small fleet is one cell without aggregators.
type Cell struct {
	Name    string   // Empty in a small fleet.
	Members []string // IDs of the other instances of the cell.
	// Aggregators are the IDs of the cell's aggregators, which may include this
	// instance. They report the state of the cell to other cells, and the state of the
	// other cells to their cell.
	Aggregators []string
	// OtherAggregators are the IDs of the aggregators of the other cells; empty if this
	// instance is not an aggregator.
	OtherAggregators []string
}

// Cell returns the cell of an instance. All instances with the same membership compute
// the same cells. An instance that joins or leaves moves others to another cell only if
// the number of cells of its failure domain changes.
func (m Member) Cell(peers []Member) Cell {
	if len(peers) < maxSingleCellSize {
		return Cell{Members: idsOf(peers)}
	}
	all := append(slices.Clone(peers), m)
	inDomain := map[string]int{}
	for _, member := range all {
		inDomain[member.FailureDomain]++
	}
	cells := map[string][]string{}
	for _, member := range all {
		name := member.cellName(inDomain[member.FailureDomain])
		cells[name] = append(cells[name], member.ID)
	}
	own := m.cellName(inDomain[m.FailureDomain])
	c := Cell{Name: own}
	for name, ids := range cells {
		slices.Sort(ids)
		aggregators := ids[:min(len(ids), aggregatorsPerCell)]
		if name == own {
			c.Members = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == m.ID })
			c.Aggregators = aggregators
			continue
		}
		c.OtherAggregators = append(c.OtherAggregators, aggregators...)
	}
	if !slices.Contains(c.Aggregators, m.ID) {
		c.OtherAggregators = nil
	}
	return c
}

func (m Member) cellName(inDomain int) string {
	cells := (inDomain + targetCellSize - 1) / targetCellSize
	return m.FailureDomain + "/" + strconv.FormatUint(xxhash.Sum64String(m.ID)%uint64(cells), 10)
}

func idsOf(members []Member) []string {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}
