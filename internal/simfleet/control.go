package simfleet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/naive"
	"github.com/celerystep/celerystep/internal/pgauth"
	"github.com/celerystep/celerystep/internal/upstream"
)

// drainPoll is the time between two looks whether all callers have left.
const drainPoll = 5 * time.Millisecond

var _ experiment.Fleet = (*Fleet)(nil)

// startInstance starts an instance in the place; the mode decides what it is.
func (f *Fleet) startInstance(i int) (*place, error) {
	f.generations++
	domains := f.topology.FailureDomains
	e := load.Endpoint{Instance: instanceID(i, f.generations), FailureDomain: domains[i%len(domains)]}
	if f.mode == experiment.ModeNaive {
		return f.startNaive(e)
	}
	s, err := f.listen(e, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "step=listen instance=%s", e.Instance)
	}
	return &place{server: s, ready: true}, nil
}

// startNaive starts the naive proxy in front of the members' own listeners.
func (f *Fleet) startNaive(e load.Endpoint) (*place, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "step=listen instance=%s", e.Instance)
	}
	e.Address = l.Addr().String()
	c := naive.Config{
		Lookup: f.lookup, User: memberCredential.User, Password: memberCredential.Password,
		Limits: make(map[string]naive.Limit),
	}
	for i := range f.topology.Groups {
		g := &f.topology.Groups[i]
		c.Groups = append(c.Groups, naive.Group{
			Database: g.Database, Members: f.addresses(g), Connections: naive.Share(g.Connections, f.topology.Instances),
		})
	}
	for i := range f.topology.Customers {
		contract := f.topology.Customers[i].Contracts[config.PresetOrdinary]
		c.Limits[f.topology.Customers[i].Name] = naive.Limit{
			Rate:  contract.RatePerSecond / float64(f.topology.Instances),
			Burst: naive.Share(contract.Burst, f.topology.Instances),
		}
	}
	return &place{server: &server{endpoint: e}, naive: naive.Start(l, c), ready: true}, nil
}

func (f *Fleet) addresses(g *experiment.Group) []string {
	var list []string
	for _, m := range g.Members {
		list = append(list, f.members[check.MemberKey{Group: g.ID, Member: m.ID}].endpoint.Address)
	}
	return list
}

// Instances returns the ready instances in failure domains that are in.
func (f *Fleet) Instances() []load.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []load.Endpoint
	for _, p := range f.places {
		if p.ready && !f.out[p.server.endpoint.FailureDomain] {
			list = append(list, p.server.endpoint)
		}
	}
	return list
}

func (f *Fleet) place(i int) *place {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places[i]
}

func (f *Fleet) setReady(p *place, ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.ready = ready
}

// KillInstance ends an instance at once.
func (f *Fleet) KillInstance(_ context.Context, i int) error {
	p := f.place(i)
	f.setReady(p, false)
	p.end()
	return nil
}

// end closes everything that the place runs.
func (p *place) end() {
	if p.naive != nil {
		p.naive.Close()
		return
	}
	p.server.kill()
}

// PauseInstance keeps an instance from reading requests for d.
func (f *Fleet) PauseInstance(_ context.Context, i int, d time.Duration) error {
	p := f.place(i)
	if p.naive != nil {
		return experiment.ErrUnsupported
	}
	p.server.gate.Lock()
	time.AfterFunc(d, p.server.gate.Unlock)
	return nil
}

// StopInstance lets the instance's callers finish and ends it.
func (f *Fleet) StopInstance(ctx context.Context, i int) error {
	p := f.place(i)
	f.setReady(p, false)
	if p.naive == nil {
		if err := p.server.finish(ctx, f.faults.Has(CutOnReplace)); err != nil {
			return err
		}
	}
	p.end()
	return nil
}

// finish lets all callers leave between requests. With cut it waits instead until it has dropped an answer.
func (s *server) finish(ctx context.Context, cut bool) error {
	if cut {
		s.cut.Store(true)
		return waitFor(ctx, func() bool { return !s.cut.Load() })
	}
	s.drain(func(*session) bool { return true })
	return waitFor(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.callers) == 0
	})
}

// waitFor returns when the condition holds.
func waitFor(ctx context.Context, condition func() bool) error {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "step=drain")
		case <-t.C:
		}
	}
	return nil
}

// ReplaceInstance stops the instance and starts another one in its place.
func (f *Fleet) ReplaceInstance(ctx context.Context, i int) error {
	if err := f.StopInstance(ctx, i); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := f.startInstance(i)
	if err != nil {
		return err
	}
	f.places[i] = p
	return nil
}

// Primary returns the present primary with the address of its own listener.
func (f *Fleet) Primary(g upstream.GroupID) (upstream.Member, error) {
	d := f.databases[g]
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary == nil {
		return upstream.Member{}, &sqlError{codeUnavailable, "no primary"}
	}
	m := d.primary.info
	s := f.members[check.MemberKey{Group: g, Member: m.ID}]
	return upstream.Member{ID: m.ID, FailureDomain: m.FailureDomain, Address: s.endpoint.Address}, nil
}

func (f *Fleet) setMember(g upstream.GroupID, id upstream.MemberID, up bool) error {
	d := f.databases[g]
	m := d.member(id)
	if m == nil {
		return errors.Errorf("unknown member %q", id)
	}
	d.setUp(m, up)
	return nil
}

// KillMember ends a member.
func (f *Fleet) KillMember(_ context.Context, g upstream.GroupID, m upstream.MemberID) error {
	return f.setMember(g, m, false)
}

// RestartMember starts a member again.
func (f *Fleet) RestartMember(_ context.Context, g upstream.GroupID, m upstream.MemberID) error {
	return f.setMember(g, m, true)
}

// IsolateMember has the effect of KillMember here.
func (f *Fleet) IsolateMember(_ context.Context, g upstream.GroupID, m upstream.MemberID) error {
	return f.setMember(g, m, false)
}

// HealMember undoes IsolateMember.
func (f *Fleet) HealMember(_ context.Context, g upstream.GroupID, m upstream.MemberID) error {
	return f.setMember(g, m, true)
}

// SetLag has no effect: simulated replicas never lag.
func (f *Fleet) SetLag(context.Context, upstream.GroupID, upstream.MemberID, time.Duration) error {
	return nil
}

// Query runs a statement of the setup or reads all rows of a table.
func (f *Fleet) Query(_ context.Context, g upstream.GroupID, sql string) ([][]string, error) {
	return f.databases[g].query(sql)
}

// Statements returns the group's log of statements.
func (f *Fleet) Statements(g upstream.GroupID) ([]check.Statement, error) {
	return f.databases[g].statements(), nil
}

// Log returns the end of the log.
func (f *Fleet) Log(g upstream.GroupID) (experiment.LogEnd, error) { return f.databases[g].end() }

// PlatformDown has no effect: the simulated fleet needs no key-value service.
func (f *Fleet) PlatformDown(context.Context, bool) error { return nil }

// PlatformSlow has no effect.
func (f *Fleet) PlatformSlow(context.Context, time.Duration) error { return nil }

// PlatformLoseAnswers has no effect.
func (f *Fleet) PlatformLoseAnswers(context.Context, int) error { return nil }

// DomainOut moves primaries and callers out of the domain.
func (f *Fleet) DomainOut(_ context.Context, d instance.FailureDomain) error {
	if f.mode != experiment.ModeCelerystep {
		return experiment.ErrUnsupported
	}
	if f.faults.Has(KeepDomain) {
		return nil
	}
	f.mu.Lock()
	f.out[d] = true
	places := append([]*place(nil), f.places...)
	f.mu.Unlock()
	for _, db := range f.databases {
		db.moveAway(func(m *member) bool { return !f.domainOut(m.info.FailureDomain) })
	}
	for _, p := range places {
		if p.server.endpoint.FailureDomain == d {
			p.server.drain(func(*session) bool { return true })
		}
	}
	return nil
}

// DomainIn takes the domain back in.
func (f *Fleet) DomainIn(_ context.Context, d instance.FailureDomain) error {
	if f.mode != experiment.ModeCelerystep {
		return experiment.ErrUnsupported
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.out, d)
	return nil
}

// IssueKey gives the customer another key.
func (f *Fleet) IssueKey(_ context.Context, customer string) error {
	f.mu.Lock()
	n := len(f.keys[customer])
	f.mu.Unlock()
	name := "k" + strconv.Itoa(n+1)
	cred := load.Credential{User: customer + "." + name, Password: fmt.Sprintf("secret-of-%s-%d", customer, n+1)}
	verifier, err := pgauth.Verifier(cred.Password, "salt-"+name, scramIterations)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys[customer] = append(f.keys[customer], &key{credential: cred, verifier: verifier})
	return nil
}

// WithdrawKey refuses the key from now on and ends its sessions.
func (f *Fleet) WithdrawKey(_ context.Context, customer, name string) error {
	if f.faults.Has(KeepWithdrawn) {
		return nil
	}
	f.mu.Lock()
	for _, k := range f.keys[customer] {
		if k.credential.KeyName() == name {
			k.withdrawn = true
		}
	}
	places := append([]*place(nil), f.places...)
	f.mu.Unlock()
	for _, p := range places {
		p.server.drain(func(s *session) bool { return s.customer == customer && s.key == name })
	}
	return nil
}

// SetPreset puts the preset in force at once.
func (f *Fleet) SetPreset(_ context.Context, p config.Preset) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preset = p
	return nil
}

// Switchover moves the primary to another member.
func (f *Fleet) Switchover(_ context.Context, g upstream.GroupID) error {
	d := f.databases[g]
	d.mu.Lock()
	old := d.primary
	d.mu.Unlock()
	d.moveAway(func(m *member) bool { return m != old })
	return nil
}

// Credential returns the customer's newest key, or the groups' own one in ModeDirect.
func (f *Fleet) Credential(customer string) (load.Credential, error) {
	if f.mode == experiment.ModeDirect {
		return memberCredential, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.keys[customer]
	if len(list) == 0 {
		return load.Credential{}, errors.Errorf("unknown customer %q", customer)
	}
	return list[len(list)-1].credential, nil
}

// Close ends all parts.
func (f *Fleet) Close(context.Context) error {
	for _, p := range f.places {
		p.end()
	}
	for _, s := range f.members {
		s.kill()
	}
	return nil
}
