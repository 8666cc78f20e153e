package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/statementlog"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Assertions on what package check does not see.
const (
	// AssertService: after all faults are healed, every entitled caller is served again.
	AssertService = "service after healing"
	// AssertGoroutines: all goroutines of the homes end.
	AssertGoroutines = "goroutines end"
	// AssertAuthority: a home whose claim was taken over grants no token once its authority must have ended (G7).
	AssertAuthority = "G7 no grant without authority"
	// AssertWithdrawn: no request that is sent after a withdrawal was put in force succeeds (G6). In one process the
	// homes see it at once, so the bound of the design does not apply.
	AssertWithdrawn = "G6 withdrawn key refused at the home"
	// AssertTagged: every statement of a caller carries a customer in the group's log (G4).
	AssertTagged = "G4 statement without customer"
	// AssertPlanned: a protocol that is planned, without any fault, refuses and cuts nothing (G13).
	AssertPlanned = "G13 request cut without a fault"
	// AssertDrained: a member that is leaving or whose domain is out gets no new work after SpreadBound (G8, G12).
	AssertDrained = "G8 G12 new work on a member that must drain"
	// AssertNoEffect: a write that was refused or answered with an error has no effect (G10, G11).
	AssertNoEffect = "G11 effect of a write that failed"
	// AssertStandin: the stand-in group itself works.
	AssertStandin = "stand-in group"
	// AssertStart: the cell can be set up.
	AssertStart = "start of the cell"
)

// Problem is what a check found wrong with a cell.
type Problem struct {
	Check  string
	Detail string
}

func (w *world) problem(name, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, Problem{name, fmt.Sprintf(format, args...)})
}

// assertNoAuthority asks a home that was replaced for tokens.
func (w *world) assertNoAuthority(h *homeInstance, id upstream.GroupID) {
	a := h.manager.Admit(context.Background(), id, []home.AdmitItem{{Customer: plainCustomer, Tokens: 1}})
	if a.Authoritative {
		w.problem(AssertAuthority, "home %s of %s grants tokens after another home claimed", h.id, id)
	}
}

// judge collects the history and runs all checks.
func (w *world) judge(started time.Time, clients []*client) {
	in := &check.Input{Start: started, End: time.Now(), Tagged: true}
	for _, c := range clients {
		in.Operations = append(in.Operations, c.log...)
	}
	w.mu.Lock()
	in.Contracts = w.contracts
	in.Withdrawals = w.withdrawals
	w.mu.Unlock()
	for name := range contracts {
		in.Secrets = append(in.Secrets, keyOf(name))
	}
	for _, id := range w.order {
		w.collect(in, id)
	}
	for _, r := range check.Run(in) {
		w.undecided += r.Undecided
		if r.Status != check.StatusViolated {
			continue
		}
		w.problem(string(r.Guarantee)+" "+r.Checker, "%d broken: %s %v", r.Broken, r.Violations[0].Detail, r.Violations[0].Statements)
	}
	w.assertWithdrawn(in)
	w.assertTagged(in)
	w.assertPlanned(in)
	w.assertNoEffect(in)
}

// assertNoEffect looks for the rows of inserts whose callers were told that they have no effect. A retry of an insert that
// took effect shows as an error about the duplicate row. Inserts run outside of transactions.
func (w *world) assertNoEffect(in *check.Input) {
	present := make(map[string]bool)
	for _, f := range in.Finals {
		for _, v := range f.Rows {
			present[v.Row.ID] = true
		}
	}
	for i := range in.Operations {
		op := &in.Operations[i]
		refused := op.Outcome == check.OutcomeFailed || op.Outcome == check.OutcomeNotRun
		if op.Kind == check.KindInsert && refused && present[op.Row.ID] {
			w.problem(AssertNoEffect, "insert %s ended %s %s, but its row exists", op.Statement, op.Outcome, op.Code)
			return
		}
	}
}

// assertPlanned judges cells without injections: no request of a customer within its rate may end otherwise than done. A
// takeover and a failover begin with a crash and are not planned.
func (w *world) assertPlanned(in *check.Input) {
	p := w.cell.Protocol
	if len(w.cell.Injections) > 0 || p == ProtocolTakeover || p == ProtocolFailover {
		return
	}
	for i := range in.Operations {
		op := &in.Operations[i]
		if op.Customer != overCustomer && op.Outcome != check.OutcomeOK {
			w.problem(AssertPlanned, "statement %s of kind %d ended %s %s after %s; a request may take %s",
				op.Statement, op.Kind, op.Outcome, op.Code, op.Return.Sub(op.Invoke), requestTimeout)
			return
		}
	}
}

// drainedRounds is the number of writes and reads in a row that must avoid a member that drains.
const drainedRounds = 10

// assertDrained waits until no new work goes to the members that must drain.
func (w *world) assertDrained(c *client) {
	w.mu.Lock()
	draining, since := w.draining, w.drainingSince
	w.mu.Unlock()
	if draining == "" || c.group != mainGroup {
		return
	}
	for avoided := 0; avoided < drainedRounds; avoided++ {
		c.reconnect()
		for _, s := range []statement{c.update(c.row), c.read(c.row)} {
			if c.run(s) != check.OutcomeOK || c.member == draining {
				avoided = -1
			}
		}
		if time.Since(since) > check.SpreadBound && avoided < 0 {
			w.problem(AssertDrained, "member %s still serves %s after the order", draining, time.Since(since).Round(time.Millisecond))
			return
		}
	}
}

// collect adds the statement log and the final state of a group.
func (w *world) collect(in *check.Input, id upstream.GroupID) {
	g := w.groups[id]
	for _, m := range g.Upstream().Members {
		log, dropped := g.StatementLog(m.ID)
		if dropped > 0 {
			w.problem(AssertStandin, "%d statements of member %s were not logged", dropped, m.ID)
		}
		in.Statements = append(in.Statements, statementlog.Convert(id, log)...)
	}
	primary := primaryOf(w, id)
	s := g.Status(primary)
	final := check.Final{Group: id, Primary: primary, History: s.History, End: s.Received}
	rows, err := g.Read(primary, "SELECT id, version, writer FROM "+table)
	if err != nil {
		w.problem(AssertStandin, "final rows: %s", err)
		return
	}
	for _, r := range rows {
		final.Rows = append(final.Rows, rowValue(fmt.Sprint(r[0]), fmt.Sprint(r[1]), fmt.Sprint(r[2])))
	}
	in.Finals = append(in.Finals, final)
}

func (w *world) assertWithdrawn(in *check.Input) {
	for _, wd := range in.Withdrawals {
		for i := range in.Operations {
			op := &in.Operations[i]
			if op.Customer == wd.Customer && op.Invoke.After(wd.At) && op.Outcome == check.OutcomeOK && op.Kind != check.KindRollback {
				w.problem(AssertWithdrawn, "statement %s of kind %d succeeded %s after the withdrawal", op.Statement, op.Kind, op.Invoke.Sub(wd.At))
				return
			}
		}
	}
}

func (w *world) assertTagged(in *check.Input) {
	for i := range in.Statements {
		s := &in.Statements[i]
		if _, ok := s.Marker(); ok && s.Customer == "" {
			w.problem(AssertTagged, "on member %s: %s", s.Member, s.Text)
			return
		}
	}
}
