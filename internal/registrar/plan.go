package registrar

import (
	"cmp"
	"slices"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A poolPlan collects the servers of a declaration by pool and failure domain.
type poolPlan struct {
	domains map[string]FailureDomain
	pools   map[string]*plannedPool
}

type plannedPool struct {
	name    string
	members map[string][]*Server // By name of the failure domain.
}

func newPoolPlan(declared []declarer.FailureDomain) *poolPlan {
	p := &poolPlan{domains: map[string]FailureDomain{}, pools: map[string]*plannedPool{}}
	for _, d := range declared {
		p.domains[d.Name] = FailureDomain{Name: d.Name, Region: d.Region}
	}
	return p
}

func (p *poolPlan) add(s *Server) {
	state := s.Snapshot()
	for _, name := range poolNames(state.BackendServer) {
		pool := p.pool(name)
		pool.members[state.FailureDomain] = append(pool.members[state.FailureDomain], s)
	}
}

func (p *poolPlan) pool(name string) *plannedPool {
	pool, ok := p.pools[name]
	if !ok {
		pool = &plannedPool{name: name, members: map[string][]*Server{}}
		p.pools[name] = pool
	}
	return pool
}

func poolNames(b declarer.BackendServer) []string {
	if b.Kind == declarer.Service {
		return []string{PoolName(declarer.Route{Service: b.Service})}
	}
	names := make([]string, 0, len(b.Models))
	for _, model := range b.Models {
		names = append(names, PoolName(declarer.Route{Model: model}))
	}
	return names
}

// build makes the pools and lets the servers join their groups.
func (p *poolPlan) build() []*Pool {
	pools := make([]*Pool, 0, len(p.pools))
	joined := map[*Server][]*Group{}
	for _, planned := range p.pools {
		pool := &Pool{Name: planned.name}
		for name, servers := range planned.members {
			group := newGroup(p.domain(name), servers)
			pool.Groups = append(pool.Groups, group)
			for _, s := range servers {
				joined[s] = append(joined[s], group)
			}
		}
		slices.SortFunc(pool.Groups, func(a, b *Group) int {
			return cmp.Compare(a.FailureDomain.Name, b.FailureDomain.Name)
		})
		pools = append(pools, pool)
	}
	for s, groups := range joined {
		s.join(groups)
	}
	return pools
}

func (p *poolPlan) domain(name string) FailureDomain {
	if d, ok := p.domains[name]; ok {
		return d
	}
	return FailureDomain{Name: name}
}
