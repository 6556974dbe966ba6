package scheduler

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

// tokensMemory is the weight of the newest chunk in the running mean of tokens
// per item.
const tokensMemory = 0.2

// An account holds the work done of a workspace.
type account struct {
	mu         sync.Mutex
	halfLife   time.Duration
	value      float64 // Tokens as of at.
	at         time.Time
	itemTokens float64 // Running mean; above zero.
}

// served returns the decayed work done in tokens.
func (a *account) served(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decayed(now)
}

// decayed brings the account to now. The caller holds mu.
func (a *account) decayed(now time.Time) float64 {
	if a.at.IsZero() {
		a.at = now
	}
	elapsed := now.Sub(a.at)
	if elapsed > 0 {
		a.value *= math.Exp2(-elapsed.Seconds() / a.halfLife.Seconds())
		a.at = now
	}
	return a.value
}

// reserve charges the expected tokens of items that are about to run.
func (a *account) reserve(now time.Time, items int) (estimate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	estimate = float64(items) * a.itemTokens
	a.value = a.decayed(now) + estimate
	return estimate
}

// settle replaces an estimate by the tokens of the items that ran.
func (a *account) settle(now time.Time, estimate float64, items int, tokens float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.value = max(0, a.decayed(now)+tokens-estimate)
	if items > 0 {
		perItem := max(1, tokens/float64(items))
		a.itemTokens += tokensMemory * (perItem - a.itemTokens)
	}
}

// raise lifts the work done to at least floor.
func (a *account) raise(now time.Time, floor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.value = max(a.decayed(now), floor)
}

const accountShards = 16

// accounts is the table of the workspaces' accounts.
type accounts struct {
	halfLife time.Duration
	shards   [accountShards]struct {
		mu         sync.Mutex
		workspaces map[string]*account
	}
}

func (t *accounts) get(workspace string) *account {
	shard := &t.shards[maphash.String(seed, workspace)%accountShards]
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
