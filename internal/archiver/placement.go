package archiver

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// A placement picks the disk instances of one object. It asks for as many
// failure domains as the candidates have, up to the number of copies: a copy
// that cannot be made in a second failure domain is not made in the first one
// instead.
type placement struct {
	copies     int
	spread     int                  // Failure domains that the copies have to lie in.
	candidates []registrar.Instance // Not tried yet, best first.
	chosen     []registrar.Instance
}

// newPlacement returns a placement over candidates, of which kept hold the
// object already.
func newPlacement(candidates, kept []registrar.Instance, copies int) *placement {
	domains := make(map[string]bool)
	for _, instance := range candidates {
		domains[instance.FailureDomain] = true
	}
	for _, instance := range kept {
		domains[instance.FailureDomain] = true
	}
	return &placement{
		copies:     copies,
		spread:     min(copies, len(domains)),
		candidates: slices.Clone(candidates),
		chosen:     slices.Clone(kept),
	}
}

func (p *placement) complete() bool {
	return len(p.chosen) >= p.copies
}

func (p *placement) choose(instance registrar.Instance) {
	p.chosen = append(p.chosen, instance)
}

// next takes the candidates to try for the copies that are missing. It returns
// none when the copies cannot be completed.
func (p *placement) next() (targets []registrar.Instance) {
	domains := make(map[string]bool)
	for _, instance := range p.chosen {
		domains[instance.FailureDomain] = true
	}
	for len(p.chosen)+len(targets) < p.copies {
		missing := p.copies - len(p.chosen) - len(targets)
		elsewhere := p.spread-len(domains) >= missing
		i := slices.IndexFunc(p.candidates, func(c registrar.Instance) bool {
			return !elsewhere || !domains[c.FailureDomain]
		})
		if i < 0 {
			return nil
		}
		target := p.candidates[i]
		p.candidates = slices.Delete(p.candidates, i, i+1)
		domains[target.FailureDomain] = true
		targets = append(targets, target)
	}
	return targets
}

func (p *placement) replicas() (ids []string) {
	for _, instance := range p.chosen {
		ids = append(ids, instance.ID)
	}
	slices.Sort(ids)
	return ids
}

// preferFor orders disk instances for an object: this instance first, then by a
// hash of the group and the instance, which spreads groups evenly and keeps the
// objects of a group together.
func preferFor(disks []registrar.Instance, own, name string) []registrar.Instance {
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
