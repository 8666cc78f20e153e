package entry

import (
	"hash/maphash"
	"sync"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/pgwire"
)

// indexShards is the number of separately locked shards, which reduces lock contention between connecting callers. The
// Dispatcher uses the same number.
const indexShards = 64

// identity is what a session was authorized with. All sessions of an identity are terminated when the configuration no
// longer admits it.
type identity struct {
	customer string
	// key is empty on an open route. verifier is the stored key against which the caller authenticated.
	key, verifier string
	database      string
}

// rejection returns the error if the snapshot does not admit the identity, or nil.
func (i *identity) rejection(s *config.Snapshot) *pgwire.Error {
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

// sessionIndex finds sessions by identity and by cancel key.
type sessionIndex struct {
	seed   maphash.Seed
	shards [indexShards]sessionShard
}

type sessionShard struct {
	mu         sync.Mutex
	byIdentity map[identity]map[*session]struct{}
	byCancel   map[cancelKey]*session
}

// cancelKey is the process ID and secret of a cancel request.
type cancelKey struct{ processID, secret uint32 }

func newSessionIndex() *sessionIndex {
	x := &sessionIndex{seed: maphash.MakeSeed()}
	for i := range x.shards {
		x.shards[i].byIdentity = make(map[identity]map[*session]struct{})
		x.shards[i].byCancel = make(map[cancelKey]*session)
	}
	return x
}

func (x *sessionIndex) shard(k cancelKey) *sessionShard {
	return &x.shards[maphash.Comparable(x.seed, k)%indexShards]
}

// add adds a session. It returns false if its cancel key is already in use.
func (x *sessionIndex) add(s *session) bool {
	sh := x.shard(s.cancelKey)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byCancel[s.cancelKey] != nil {
		return false
	}
	sh.byCancel[s.cancelKey] = s
	sessions := sh.byIdentity[*s.identity]
	if sessions == nil {
		sessions = make(map[*session]struct{})
		sh.byIdentity[*s.identity] = sessions
	}
	sessions[s] = struct{}{}
	return true
}

func (x *sessionIndex) remove(s *session) {
	sh := x.shard(s.cancelKey)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.byCancel, s.cancelKey)
	sessions := sh.byIdentity[*s.identity]
	delete(sessions, s)
	if len(sessions) == 0 {
		delete(sh.byIdentity, *s.identity)
	}
}

// find returns the session with the cancel key, or nil.
func (x *sessionIndex) find(k cancelKey) *session {
	sh := x.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byCancel[k]
}

// forEach calls f for every session without holding a lock.
func (x *sessionIndex) forEach(f func(*session)) {
	x.forEachMatching(func(*identity) bool { return true }, f)
}

// forEachMatching calls f for the sessions whose identity matches, without holding a lock.
func (x *sessionIndex) forEachMatching(match func(*identity) bool, f func(*session)) {
	for i := range x.shards {
		for _, s := range x.shards[i].matching(match) {
			f(s)
		}
	}
}

func (sh *sessionShard) matching(match func(*identity) bool) []*session {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var found []*session
	for id, sessions := range sh.byIdentity {
		if !match(&id) {
			continue
		}
		for s := range sessions {
			found = append(found, s)
		}
	}
	return found
}
