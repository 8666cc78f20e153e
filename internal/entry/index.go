package entry

import (
	"hash/maphash"
	"sync"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// indexShards spreads the sessions over locks, so that callers who come and go do not wait for each other.
const indexShards = 64

// identity is what a session was admitted with. Sessions with the same identity end together when the configuration no
// longer admits it.
type identity struct {
	customer string
	// key is empty on an open route; verifier is the stored key that the caller proved to have.
	key, verifier string
	database      string
}

// check returns why the snapshot does not admit the identity, or nil.
func (i *identity) check(s *config.Snapshot) *pgwire.Error {
	route, ok := s.Route(i.database)
	if !ok {
		return &pgwire.Error{Code: pgwire.CodeShutdown, Message: "terminating connection: the route was removed"}
	}
	if _, ok := s.Customer(i.customer); !ok {
		return &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "terminating connection: the customer was removed"}
	}
	if i.key == "" {
		if route.OpenCustomer != i.customer {
			return &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "terminating connection: the route was closed"}
		}
		return nil
	}
	key, ok := s.Key(i.customer, i.key)
	if !ok || string(key.StoredKey) != i.verifier {
		return &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "terminating connection: the key was withdrawn"}
	}
	if !route.Allows(i.customer) {
		return &pgwire.Error{
			Code:    pgwire.CodeInvalidAuth,
			Message: "terminating connection: the customer may not use the route any more",
		}
	}
	return nil
}

// index finds sessions by identity, and by the process id and secret of a cancel request.
type index struct {
	seed   maphash.Seed
	shards [indexShards]indexShard
}

type indexShard struct {
	mu         sync.Mutex
	byIdentity map[identity]map[*session]struct{}
	byCancel   map[cancelKey]*session
}

// cancelKey is what a cancel request carries.
type cancelKey struct{ processID, secret uint32 }

func newIndex() *index {
	x := &index{seed: maphash.MakeSeed()}
	for i := range x.shards {
		x.shards[i].byIdentity = make(map[identity]map[*session]struct{})
		x.shards[i].byCancel = make(map[cancelKey]*session)
	}
	return x
}

func (x *index) shard(k cancelKey) *indexShard {
	return &x.shards[maphash.Comparable(x.seed, k)%indexShards]
}

// add takes in a session and returns false when its cancel key is in use already.
func (x *index) add(s *session) bool {
	sh := x.shard(s.cancelKey)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byCancel[s.cancelKey] != nil {
		return false
	}
	sh.byCancel[s.cancelKey] = s
	same := sh.byIdentity[*s.identity]
	if same == nil {
		same = make(map[*session]struct{})
		sh.byIdentity[*s.identity] = same
	}
	same[s] = struct{}{}
	return true
}

func (x *index) remove(s *session) {
	sh := x.shard(s.cancelKey)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.byCancel, s.cancelKey)
	same := sh.byIdentity[*s.identity]
	delete(same, s)
	if len(same) == 0 {
		delete(sh.byIdentity, *s.identity)
	}
}

// find returns the session with the cancel key, or nil.
func (x *index) find(k cancelKey) *session {
	sh := x.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byCancel[k]
}

// each calls f for every session, without a lock held.
func (x *index) each(f func(*session)) {
	x.selectBy(func(*identity) bool { return true }, f)
}

// selectBy calls f for the sessions whose identity is selected, without a lock held.
func (x *index) selectBy(selected func(*identity) bool, f func(*session)) {
	for i := range x.shards {
		for _, s := range x.shards[i].collect(selected) {
			f(s)
		}
	}
}

func (sh *indexShard) collect(selected func(*identity) bool) []*session {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var found []*session
	for id, same := range sh.byIdentity {
		if !selected(&id) {
			continue
		}
		for s := range same {
			found = append(found, s)
		}
	}
	return found
}
