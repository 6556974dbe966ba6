package registrar

import (
	"cmp"
	"slices"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

// A poolBuilder groups the servers of a declaration by pool and failure domain.
type poolBuilder struct {
	domains map[string]FailureDomain
	pools   map[string]*plannedPool
}

type plannedPool struct {
	name    string
	members map[string][]*Server // By name of the failure domain.
}

func newPoolBuilder(declared []declarer.FailureDomain) *poolBuilder {
	b := &poolBuilder{domains: map[string]FailureDomain{}, pools: map[string]*plannedPool{}}
	for _, d := range declared {
		b.domains[d.Name] = FailureDomain{Name: d.Name, Region: d.Region}
	}
	return b
}

func (b *poolBuilder) addServer(s *Server) {
	state := s.Snapshot()
	for _, name := range poolNames(state.BackendServer) {
		pool := b.pool(name)
		pool.members[state.FailureDomain] = append(pool.members[state.FailureDomain], s)
	}
}

func (b *poolBuilder) pool(name string) *plannedPool {
	pool, ok := b.pools[name]
	if !ok {
		pool = &plannedPool{name: name, members: map[string][]*Server{}}
		b.pools[name] = pool
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

// build creates the pools and assigns the servers to their groups.
func (b *poolBuilder) build() []*Pool {
	pools := make([]*Pool, 0, len(b.pools))
	joined := map[*Server][]*Group{}
	for _, planned := range b.pools {
		pool := &Pool{Name: planned.name}
		for name, servers := range planned.members {
			group := newGroup(b.domain(name), servers)
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
		s.setGroups(groups)
	}
	return pools
}

func (b *poolBuilder) domain(name string) FailureDomain {
	if d, ok := b.domains[name]; ok {
		return d
	}
	return FailureDomain{Name: name}
}
