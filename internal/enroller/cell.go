package enroller

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSingleCellSize is the size of a fleet up to which all instances exchange reports
	// with each other. Pairs grow with the square of the fleet.
	maxSingleCellSize = 40
	// targetCellSize is about the number of instances of a cell. With the square root of
	// the largest fleet there are as many cells as instances in one.
	targetCellSize = 16
	// aggregatorsPerCell is the number of instances that speak for a cell. The second one
	// covers for the first.
	aggregatorsPerCell = 2
)

// A Cell is the instances of a large fleet with which one instance exchanges
// reports. In a small fleet there is one cell, without speakers.
type Cell struct {
	Name    string   // Empty in a small fleet.
	Members []string // IDs of the other instances of the cell.
	// Speakers are those of the cell, this instance among them where it is one.
	// They tell the cell about the rest of the fleet, and other cells about this
	// one.
	Aggregators []string
	// Others are the speakers of the other cells; none where this instance is no
	// speaker.
	OtherAggregators []string
}

// Cell is the cell of an instance. All instances with the same membership form
// the same cells; one that comes or goes changes others' cells only where a
// failure domain gets another number of cells.
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
