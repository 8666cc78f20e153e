package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// homeFinder finds the home of a group and the addresses of instances.
type homeFinder interface {
	Home(g upstream.GroupID) (instance.ID, bool)
	Address(id instance.ID) (instance.Info, bool)
}

// homeManager is the part of home.Manager that serves other homes.
type homeManager interface {
	Admit(ctx context.Context, g upstream.GroupID, items []home.AdmitItem) home.AdmitResult
}

// admissionServer grants from the buckets of a home manager.
type admissionServer struct {
	manager homeManager
}

// newAdmissionServer returns a server that grants from the manager's buckets.
func newAdmissionServer(m homeManager) *admissionServer { return &admissionServer{manager: m} }

// Admit implements peer.Admitter.
func (s *admissionServer) Admit(ctx context.Context, r *peerv1.AdmitRequest) (*peerv1.AdmitResponse, error) {
	items := make([]home.AdmitItem, 0, len(r.GetItems()))
	for _, i := range r.GetItems() {
		items = append(items, home.AdmitItem{Customer: i.GetCustomer(), Tokens: int(i.GetTokens())})
	}
	answer := s.manager.Admit(ctx, upstream.GroupID(r.GetGroup()), items)
	out := &peerv1.AdmitResponse{Authoritative: answer.Authoritative}
	for _, i := range answer.Granted {
		out.Granted = append(out.Granted, &peerv1.AdmitItem{Customer: i.Customer, Tokens: uint32(i.Tokens)})
	}
	for _, d := range answer.RetryAfter {
		out.RetryAfterUs = append(out.RetryAfterUs, uint64(max(0, d.Microseconds())))
	}
	return out, nil
}

// admitCallTimeout is the time in which an answer counts, so that waiting longer is of no use.
const admitCallTimeout = 200 * time.Millisecond

// admitRetry is the pause after a call that no home answered.
const admitRetry = 50 * time.Millisecond

// admitCaller carries an admission call to a peer.
type admitCaller interface {
	Admit(ctx context.Context, address string, r *peerv1.AdmitRequest) (*peerv1.AdmitResponse, error)
}

// admissionClient asks the homes of customers' main groups for tokens. It implements home.RemoteAdmitter. While a
// call to a home is under way, further asks for that home wait and travel together in the next call.
type admissionClient struct {
	self  instance.ID
	homes homeFinder
	local homeManager
	calls admitCaller

	mu     sync.Mutex
	queues map[upstream.GroupID]*admitQueue
}

// admitQueue collects the asks for one main group.
type admitQueue struct {
	running bool
	waiting []*admitAsk
}

type admitAsk struct {
	customer string
	tokens   int
	done     chan struct{}
	granted  int
	retry    time.Duration
	err      error
}

// newAdmissionClient returns a client for the instance self, which asks its own manager without a call.
func newAdmissionClient(self instance.ID, homes homeFinder, local homeManager,
	calls admitCaller,
) *admissionClient {
	return &admissionClient{
		self: self, homes: homes, local: local, calls: calls,
		queues: make(map[upstream.GroupID]*admitQueue),
	}
}

// Admit implements home.RemoteAdmitter.
func (c *admissionClient) Admit(ctx context.Context, main upstream.GroupID, customer string, tokens int) (int, time.Duration, error) {
	owner, known := c.homes.Home(main)
	if !known {
		return 0, admitRetry, errors.Errorf("home of group %s is not known", main)
	}
	if owner == c.self {
		a := &admitAsk{customer: customer, tokens: tokens}
		fill([]*admitAsk{a}, c.local.Admit(ctx, main, a.items()))
		return a.granted, a.retry, a.err
	}
	a := &admitAsk{customer: customer, tokens: tokens, done: make(chan struct{})}
	c.enqueue(main, a)
	select {
	case <-a.done:
		return a.granted, a.retry, a.err
	case <-ctx.Done():
		return 0, admitRetry, ctx.Err()
	}
}

func (a *admitAsk) items() []home.AdmitItem {
	return []home.AdmitItem{{Customer: a.customer, Tokens: a.tokens}}
}

func (c *admissionClient) enqueue(g upstream.GroupID, a *admitAsk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[g]
	if q == nil {
		q = &admitQueue{}
		c.queues[g] = q
	}
	q.waiting = append(q.waiting, a)
	if !q.running {
		q.running = true
		go c.drain(g, q)
	}
}

// drain sends the waiting asks of one main group, one call at a time, until none is left.
func (c *admissionClient) drain(g upstream.GroupID, q *admitQueue) {
	for {
		c.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			q.running = false
			delete(c.queues, g)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.call(g, batch)
		for _, a := range batch {
			close(a.done)
		}
	}
}

func (c *admissionClient) call(g upstream.GroupID, batch []*admitAsk) {
	answer, err := c.ask(g, batch)
	if err != nil {
		for _, a := range batch {
			a.retry, a.err = admitRetry, err
		}
		return
	}
	fill(batch, answer)
}

func (c *admissionClient) ask(g upstream.GroupID, batch []*admitAsk) (home.AdmitResult, error) {
	owner, known := c.homes.Home(g)
	if !known {
		return home.AdmitResult{}, errors.Errorf("home of group %s is not known", g)
	}
	info, known := c.homes.Address(owner)
	if !known {
		return home.AdmitResult{}, errors.Errorf("address of peer %s is not known", owner)
	}
	ctx, cancel := context.WithTimeout(context.Background(), admitCallTimeout)
	defer cancel()
	r := &peerv1.AdmitRequest{From: string(c.self), Group: string(g)}
	for _, a := range batch {
		r.Items = append(r.Items, &peerv1.AdmitItem{Customer: a.customer, Tokens: uint32(a.tokens)})
	}
	resp, err := c.calls.Admit(ctx, info.PeerAddress, r)
	if err != nil {
		return home.AdmitResult{}, errors.Wrapf(err, "step=admit peer=%s", owner)
	}
	return decodeAdmit(resp), nil
}

func decodeAdmit(m *peerv1.AdmitResponse) home.AdmitResult {
	a := home.AdmitResult{Authoritative: m.GetAuthoritative()}
	for _, i := range m.GetGranted() {
		a.Granted = append(a.Granted, home.AdmitItem{Customer: i.GetCustomer(), Tokens: int(i.GetTokens())})
	}
	for _, us := range m.GetRetryAfterUs() {
		a.RetryAfter = append(a.RetryAfter, time.Duration(us)*time.Microsecond)
	}
	return a
}

// fill gives each ask its part of the answer, which lists the items in the order of the asks.
func fill(batch []*admitAsk, answer home.AdmitResult) {
	for i, a := range batch {
		a.retry = admitRetry
		if !answer.Authoritative || i >= len(answer.Granted) {
			a.err = errors.New("receiver is not the confirmed home")
			continue
		}
		a.granted = answer.Granted[i].Tokens
		if i < len(answer.RetryAfter) {
			a.retry = answer.RetryAfter[i]
		}
	}
}
