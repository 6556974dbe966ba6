package scheduler

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

// itemTokensWeight is the weight of the newest chunk in the moving average of
// tokens per item.
const itemTokensWeight = 0.2

// An account tracks the decayed token usage of a workspace.
type account struct {
	mu         sync.Mutex
	halfLife   time.Duration
	tokens     float64 // Usage as of updatedAt.
	updatedAt  time.Time
	itemTokens float64 // Moving average of tokens per item; at least 1.
}

// usage returns the decayed usage in tokens.
func (a *account) usage(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decay(now)
}

// decay applies the decay since the last update and returns the usage. The
// caller holds mu.
func (a *account) decay(now time.Time) float64 {
	if a.updatedAt.IsZero() {
		a.updatedAt = now
	}
	elapsed := now.Sub(a.updatedAt)
	if elapsed > 0 {
		a.tokens *= math.Exp2(-elapsed.Seconds() / a.halfLife.Seconds())
		a.updatedAt = now
	}
	return a.tokens
}

// reserve charges the estimated tokens of items before they run.
func (a *account) reserve(now time.Time, items int) (estimate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	estimate = float64(items) * a.itemTokens
	a.tokens = a.decay(now) + estimate
	return estimate
}

// settle replaces an estimate by the actual tokens of the items that ran.
func (a *account) settle(now time.Time, estimate float64, items int, tokens float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = max(0, a.decay(now)+tokens-estimate)
	if items > 0 {
		perItem := max(1, tokens/float64(items))
		a.itemTokens += itemTokensWeight * (perItem - a.itemTokens)
	}
}

// raiseTo raises the usage to at least floor.
func (a *account) raiseTo(now time.Time, floor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = max(a.decay(now), floor)
}

const accountShards = 16

// accounts maps workspaces to their accounts.
type accounts struct {
	halfLife time.Duration
	shards   [accountShards]struct {
		mu         sync.Mutex
		workspaces map[string]*account
	}
}

func (t *accounts) get(workspace string) *account {
	shard := &t.shards[maphash.String(hashSeed, workspace)%accountShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a, ok := shard.workspaces[workspace]
	if !ok {
		a = &account{halfLife: t.halfLife, itemTokens: DefaultItemTokens}
		if shard.workspaces == nil {
			shard.workspaces = make(map[string]*account)
		}
		shard.workspaces[workspace] = a
	}
	return a
}
