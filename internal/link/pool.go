package link

import (
	"sync"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/request"
)

// Pool keeps one client for each instance.
type Pool struct {
	options Options
	clients sync.Map // instance.ID to *Client
	mu      sync.Mutex
	closed  bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool { return &Pool{options: o.withDefaults()} }

// Link returns the client for the instance. If the address of the instance changed, the old client is closed and its
// transactions are lost, because the instance at the old address was replaced.
func (p *Pool) Link(info instance.Info) request.Runner {
	if c, ok := p.clients.Load(info.ID); ok && c.(*Client).address == info.PeerAddress {
		return c.(*Client)
	}
	return p.add(info)
}

func (p *Pool) add(info instance.Info) request.Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, _ := p.clients.Load(info.ID)
	if old != nil && old.(*Client).address == info.PeerAddress {
		return old.(*Client)
	}
	c := NewClient(info.ID, info.PeerAddress, p.options)
	if p.closed {
		c.Close()
		return c
	}
	p.clients.Store(info.ID, c)
	if old != nil {
		go old.(*Client).Close()
	}
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.clients.Range(func(_, c any) bool {
		c.(*Client).Close()
		return true
	})
}
