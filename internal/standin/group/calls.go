package group

import (
	"database/sql/driver"
	"fmt"
	"strconv"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
	"github.com/celerystep/celerystep/internal/upstream"
)

// arguments are the evaluated arguments of a function of the server.
type arguments struct {
	function string
	values   []string
}

func evaluate(st *sqltext.Statement, args []driver.NamedValue) arguments {
	out := arguments{function: st.Name}
	for _, a := range st.Args {
		v := a.Literal
		if a.Param > 0 && a.Param <= len(args) {
			v = fmt.Sprint(args[a.Param-1].Value)
		}
		out.values = append(out.values, v)
	}
	return out
}

func (a arguments) text(i int) string {
	if i >= len(a.values) {
		return ""
	}
	return a.values[i]
}

func (a arguments) number(i int) (uint64, error) {
	n, err := strconv.ParseUint(a.text(i), 10, 64)
	if err != nil {
		return 0, errorf(stateInvalidParameter, "%s: argument %d must be a whole number", a.function, i+1)
	}
	return n, nil
}

// call runs a function of the server.
func (s *session) call(st *sqltext.Statement, args []driver.NamedValue) (driver.Value, error) {
	a := evaluate(st, args)
	switch st.Name {
	case "pg_sleep":
		return "", s.pgSleep(st, args, a)
	case "pg_terminate_backend":
		return s.terminateBackend(a)
	case "group_fault":
		return "", s.m.group.fault(a)
	}
	status, err := s.operate(a)
	if err != nil {
		return nil, err
	}
	return encodeStatus(status)
}

// operate runs one of the operations of design section 12.
func (s *session) operate(a arguments) (upstream.MemberStatus, error) {
	if a.function == "group_status" {
		return s.m.status(), nil
	}
	n, err := a.number(0)
	if err != nil {
		return upstream.MemberStatus{}, err
	}
	t := position.Term(n)
	switch a.function {
	case "group_claim":
		return s.m.claim(n, a.text(1), s)
	case "group_fence":
		return s.m.fence(t, a.text(1))
	case "group_promote":
		return s.m.promote(t, a.text(1))
	default:
		return s.m.follow(t, upstream.MemberID(a.text(1)), a.text(2))
	}
}

// pgSleep holds a slot for the given number of seconds.
func (s *session) pgSleep(st *sqltext.Statement, args []driver.NamedValue, a arguments) error {
	seconds, err := strconv.ParseFloat(a.text(0), 64)
	if err != nil || seconds < 0 {
		return errorf(stateInvalidParameter, "pg_sleep: invalid time %q", a.text(0))
	}
	t := s.ensureTransaction()
	if err := s.takeSlot(); err != nil {
		return err
	}
	defer s.releaseSlot()
	if _, err := s.m.beginStatement(s, t, st.Text, args); err != nil {
		return err
	}
	return s.serviceWait(time.Duration(seconds * float64(time.Second)))
}

// terminateBackend closes another connection of the member and reports whether there was one.
func (s *session) terminateBackend(a arguments) (driver.Value, error) {
	pid, err := a.number(0)
	if err != nil {
		return nil, err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	other := s.m.sessions[uint32(pid)]
	if other == nil {
		return int64(0), nil
	}
	other.terminateLocked()
	return int64(1), nil
}

// fault switches a fault of a member: group_fault(name, member, ...).
func (g *Group) fault(a arguments) error {
	if !g.options.FaultFunctions {
		return errorf(stateInsufficientPrivs, "group_fault is switched off")
	}
	id := upstream.MemberID(a.text(1))
	if g.members[id] == nil {
		return errorf(stateInvalidParameter, "member %q is unknown", id)
	}
	switch a.text(0) {
	case "kill":
		g.Kill(id)
	case "restart":
		return g.Restart(id)
	case "isolate":
		g.Isolate(id)
	case "heal":
		g.Heal(id)
	case "freeze":
		g.Freeze(id)
	case "unfreeze":
		g.Unfreeze(id)
	case "lag":
		receive, err := a.number(2)
		if err != nil {
			return err
		}
		apply, err := a.number(3)
		if err != nil {
			return err
		}
		g.SetLag(id, time.Duration(receive)*time.Millisecond, time.Duration(apply)*time.Millisecond)
	case "service_time":
		us, err := a.number(2)
		if err != nil {
			return err
		}
		g.SetServiceTime(id, time.Duration(us)*time.Microsecond)
	default:
		return errorf(stateInvalidParameter, "fault %q is unknown", a.text(0))
	}
	return nil
}
