package retrier

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	budgetShards = 16
	// retryPercent is the number of retries for 100 requests of a route.
	retryPercent = 10
	// maxSavedRetries is the initial and the maximum balance of a route. It
	// covers the requests in flight on one server that crashes, at the
	// capacities of current engines.
	maxSavedRetries = 32
)

// budgets holds the retry budget of each route, in hundredths of a retry.
type budgets struct {
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu       sync.Mutex
	balances map[string]int // Never negative, at most 100 * maxSavedRetries.
}

func (b *budgets) init() {
	for i := range b.shards {
		b.shards[i].balances = map[string]int{}
	}
}

func (b *budgets) shard(route string) *budgetShard {
	return &b.shards[xxhash.Sum64String(route)%budgetShards]
}

func (b *budgets) deposit(route string) {
	b.shard(route).deposit(route)
}

func (b *budgets) withdraw(route string) bool {
	return b.shard(route).withdraw(route)
}

func (s *budgetShard) balance(route string) int {
	balance, ok := s.balances[route]
	if !ok {
		return 100 * maxSavedRetries
	}
	return balance
}

func (s *budgetShard) deposit(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balances[route] = min(s.balance(route)+retryPercent, 100*maxSavedRetries)
}

func (s *budgetShard) withdraw(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	balance := s.balance(route)
	if balance < 100 {
		return false
	}
	s.balances[route] = balance - 100
	return true
}
