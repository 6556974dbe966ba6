package throttler

import "time"

// Peek returns what Wait returns, without any change of state.
func (t *Throttler) Peek(server Server, canWait bool) time.Duration {
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	known := sh.limits[server]
	if known == nil || !known.limited {
		return 0
	}
	l := *known
	return t.waitOf(server, &l, canWait)
}
