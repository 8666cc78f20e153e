package group

import (
	"sync"
	"sync/atomic"
)

// cache keeps values by SQL text. It is emptied when it is full, because texts with literals would let it grow for
// good.
type cache struct {
	values sync.Map
	size   atomic.Int64
}

func (c *cache) get(sql string) (any, bool) { return c.values.Load(sql) }

func (c *cache) put(sql string, v any) {
	if c.size.Add(1) > maxCachedStatements {
		c.reset()
	}
	c.values.Store(sql, v)
}

func (c *cache) reset() {
	c.size.Store(0)
	c.values.Clear()
}
