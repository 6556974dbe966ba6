package engineemulator

import (
	"container/list"
	"crypto/sha256"
	"sync"
)

// blockTokens is the number of tokens in a cache block; tokenBytes is the number
// of bytes that count as one token.
const (
	blockTokens = 16
	tokenBytes  = 4
)

// A prefixCache is an LRU cache of prompt blocks. The hash of a block covers all
// blocks before it, since a block can only be reused together with them.
type prefixCache struct {
	mu      sync.Mutex
	size    int
	recency *list.List // Block hashes, the least recently used first.
	blocks  map[[sha256.Size]byte]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, recency: list.New(), blocks: map[[sha256.Size]byte]*list.Element{}}
}

// lookupAndInsert returns the number of tokens at the start of the prompt that
// were cached, and adds the prompt to the cache.
func (c *prefixCache) lookupAndInsert(prompt string) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hash [sha256.Size]byte
	hit := true
	const blockBytes = blockTokens * tokenBytes
	for len(prompt) >= blockBytes {
		hash = sha256.Sum256(append(hash[:], prompt[:blockBytes]...))
		prompt = prompt[blockBytes:]
		hit = c.touch(hash) && hit
		if hit {
			cached += blockTokens
		}
	}
	return cached
}

// touch adds a block or marks it as the most recently used, and reports whether
// it was cached.
func (c *prefixCache) touch(hash [sha256.Size]byte) bool {
	if e, ok := c.blocks[hash]; ok {
		c.recency.MoveToBack(e)
		return true
	}
	c.blocks[hash] = c.recency.PushBack(hash)
	if c.recency.Len() > c.size {
		oldest := c.recency.Front()
		c.recency.Remove(oldest)
		delete(c.blocks, oldest.Value.([sha256.Size]byte))
	}
	return false
}

func countTokens(text string) int {
	return (len(text) + tokenBytes - 1) / tokenBytes
}
