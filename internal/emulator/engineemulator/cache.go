package engineemulator

import (
	"container/list"
	"crypto/sha256"
	"sync"
)

// blockTokens is the number of tokens of a cache block; tokenBytes is the
// number of bytes that count as one token.
const (
	blockTokens = 16
	tokenBytes  = 4
)

// A prefixCache remembers blocks of prompts. A block counts as present only
// with all blocks before it, so its hash covers them.
type prefixCache struct {
	mu      sync.Mutex
	size    int
	recency *list.List // Of block hashes, the least recently used first.
	blocks  map[[sha256.Size]byte]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, recency: list.New(), blocks: map[[sha256.Size]byte]*list.Element{}}
}

// use returns how many tokens at the start of the prompt were in the cache, and
// puts the prompt into it.
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

// touch makes a block the most recently used and reports whether it was there.
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
