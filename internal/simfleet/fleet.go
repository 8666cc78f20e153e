// Package simfleet is a simulated fleet for checking the load tool itself. It answers callers from memory and keeps
// the guarantees, unless it is told to break one of them. Its figures say nothing about celerystep.
package simfleet

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/naive"
	"github.com/celerystep/celerystep/internal/pgauth"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Breakage is a way to break a guarantee on purpose.
type Breakage string

// Breakages. Those that concern single statements hit one in breakageInterval.
const (
	LoseWrites      Breakage = "lose acknowledged writes"
	DoubleWrites    Breakage = "run writes twice"
	StaleReads      Breakage = "serve older rows"
	FalseNotRun     Breakage = "say not run after running"
	MixTransactions Breakage = "run reads inside other transactions"
	WrongCustomer   Breakage = "run for another customer"
	NoLimits        Breakage = "ignore rate and burst"
	KeepWithdrawn   Breakage = "accept withdrawn keys"
	KeepDomain      Breakage = "keep using a domain taken out"
	CutOnReplace    Breakage = "cut requests at a graceful stop"
	ForgetTail      Breakage = "drop the end of the log at a change of primary"
)

const breakageInterval = 3

// Breakages is a set of breakages.
type Breakages struct {
	set   map[Breakage]bool
	calls atomic.Uint64
}

// Has reports whether the breakage is set.
func (b *Breakages) Has(x Breakage) bool { return b.set[x] }

// Hit reports whether the breakage is set and its turn has come.
func (b *Breakages) Hit(x Breakage) bool { return b.set[x] && b.calls.Add(1)%breakageInterval == 0 }

// scramIterations is the least number that the SCRAM standard allows.
const scramIterations = 4096

// memberCredential is what the groups' own listeners accept.
var memberCredential = load.Credential{User: "upstream.main", Password: "upstream-password"}

// key is a customer's key.
type key struct {
	credential load.Credential
	verifier   scram.StoredCredentials
	withdrawn  bool
}

// Fleet implements experiment.Fleet.
type Fleet struct {
	mode     experiment.Mode
	topology *experiment.Topology
	faults   *Breakages

	databases map[upstream.GroupID]*database
	members   map[check.MemberKey]*server

	mu          sync.Mutex
	keys        map[string][]*key // by customer, the newest last
	out         map[instance.FailureDomain]bool
	preset      config.Preset
	buckets     map[string]*bucket
	places      []*place
	generations int
}

// place is where an instance runs.
type place struct {
	server *server
	naive  *naive.Proxy
	ready  bool
}

// Starter returns a starter of simulated fleets with the breakages.
func Starter(breakages ...Breakage) experiment.Starter {
	return func(_ context.Context, m experiment.Mode, t *experiment.Topology) (experiment.Fleet, error) {
		b := &Breakages{set: make(map[Breakage]bool)}
		for _, x := range breakages {
			b.set[x] = true
		}
		return start(m, t, b)
	}
}

func start(m experiment.Mode, t *experiment.Topology, b *Breakages) (*Fleet, error) {
	f := &Fleet{
		mode: m, topology: t, faults: b, databases: make(map[upstream.GroupID]*database),
		members: make(map[check.MemberKey]*server), keys: make(map[string][]*key),
		out: make(map[instance.FailureDomain]bool), preset: config.PresetOrdinary, buckets: make(map[string]*bucket),
	}
	for i := range t.Customers {
		if err := f.IssueKey(context.Background(), t.Customers[i].Name); err != nil {
			return nil, err
		}
	}
	if err := f.startGroups(); err != nil {
		return nil, err
	}
	f.places = make([]*place, t.Instances)
	for i := range f.places {
		p, err := f.startInstance(i)
		if err != nil {
			return nil, err
		}
		f.places[i] = p
	}
	return f, nil
}

func (f *Fleet) startGroups() error {
	verifier, err := pgauth.Verifier(memberCredential.Password, "salt", scramIterations)
	if err != nil {
		return err
	}
	f.keys["upstream"] = []*key{{credential: memberCredential, verifier: verifier}}
	for i := range f.topology.Groups {
		g := &f.topology.Groups[i]
		d := newDatabase(g, f.faults)
		f.databases[g.ID] = d
		for _, m := range g.Members {
			s, err := f.listen(load.Endpoint{Instance: instance.ID(m.ID), FailureDomain: m.FailureDomain}, d)
			if err != nil {
				return errors.Wrapf(err, "step=listen member=%s", m.ID)
			}
			f.members[check.MemberKey{Group: g.ID, Member: m.ID}] = s
		}
	}
	return nil
}

// customerOf returns the customer in a user name of the form customer.keyname.
func customerOf(user string) string {
	customer, _, _ := strings.Cut(user, ".")
	return customer
}

// lookup returns the verifier of a key that is not withdrawn.
func (f *Fleet) lookup(user string) (scram.StoredCredentials, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.keys[customerOf(user)] {
		if k.credential.User == user && !k.withdrawn {
			return k.verifier, nil
		}
	}
	return scram.StoredCredentials{}, errors.Errorf("no key for user %q", user)
}

func (f *Fleet) byDatabase(name string) *database {
	for i := range f.topology.Groups {
		if f.topology.Groups[i].Database == name {
			return f.databases[f.topology.Groups[i].ID]
		}
	}
	return nil
}

func (f *Fleet) domainOut(d instance.FailureDomain) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.out[d]
}

// statusQuery asks a member what it believes of itself (design page, section 12).
const statusQuery = "SELECT group_status()"

// sendStatus answers statusQuery.
func (c *caller) sendStatus() {
	d := c.server.database
	d.mu.Lock()
	status := upstream.MemberStatus{Member: upstream.MemberID(c.server.endpoint.Instance), Role: upstream.RoleReplica, Term: d.term}
	if d.primary != nil && d.primary.info.ID == status.Member {
		status.Role = upstream.RolePrimary
	}
	d.mu.Unlock()
	text, _ := json.Marshal(status)
	c.back.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("group_status"), DataTypeOID: textOID}}})
	c.back.Send(&pgproto3.DataRow{Values: [][]byte{text}})
	c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// bucket is a customer's token bucket, kept as the time at which it would be full minus its burst.
type bucket struct{ next time.Time }

// transactionTokens is taken at BEGIN for the whole transaction, so that an open one never waits for a token while it
// holds the group's write lock. What is left is given back at its end.
const transactionTokens = 8

// admit takes the statement's token, waiting for it until the deadline of ctx.
func (f *Fleet) admit(ctx context.Context, s *session, st statement) *sqlError {
	if !s.limited || f.faults.Has(NoLimits) {
		return nil
	}
	if s.tx != nil && s.tx.tokens > 0 {
		s.tx.tokens--
		return nil
	}
	n := 1
	if st.kind == check.KindBegin {
		n = transactionTokens
	}
	wait, ok := f.reserve(ctx, s.customer, n)
	if !ok {
		return &sqlError{codeRate, "rate exceeded: not run"}
	}
	time.Sleep(wait)
	return nil
}

// reserve takes n tokens and returns the time until they are there. It takes none when that is after the deadline.
func (f *Fleet) reserve(ctx context.Context, customer string, n int) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	contract := f.contract(customer)
	b := f.buckets[customer]
	if b == nil {
		b = &bucket{}
		f.buckets[customer] = b
	}
	now := time.Now()
	token := tokenTime(contract)
	full := now.Add(-time.Duration(contract.Burst) * token)
	next := b.next
	if next.Before(full) {
		next = full
	}
	next = next.Add(time.Duration(n) * token)
	deadline, _ := ctx.Deadline()
	if next.After(deadline) {
		return 0, false
	}
	b.next = next
	return time.Until(next), true
}

// giveBack returns tokens that were not used.
func (f *Fleet) giveBack(customer string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.buckets[customer]; b != nil {
		b.next = b.next.Add(-time.Duration(n) * tokenTime(f.contract(customer)))
	}
}

func tokenTime(c config.Contract) time.Duration {
	return time.Duration(float64(time.Second) / c.RatePerSecond)
}

func (f *Fleet) contract(customer string) config.Contract {
	for i := range f.topology.Customers {
		if f.topology.Customers[i].Name == customer {
			return f.topology.Customers[i].Contracts[f.preset]
		}
	}
	return config.Contract{RatePerSecond: 1, Burst: 1}
}
