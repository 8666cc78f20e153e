package check

import "time"

// checkWithdrawnKeys finds statements and connections that were sent with a key more than SpreadBound after its
// withdrawal and succeeded.
func checkWithdrawnKeys(x *index, r *Result) {
	type credential struct{ customer, key string }
	withdrawn := make(map[credential]time.Time)
	for _, w := range x.in.Withdrawals {
		withdrawn[credential{w.Customer, w.Key}] = w.At
	}
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		at, ok := withdrawn[credential{op.Customer, op.Key}]
		if !ok || !op.Invoke.After(at.Add(SpreadBound)) {
			continue
		}
		r.Cases++
		if op.Outcome == OutcomeOK {
			r.violate(op.Invoke, []*Operation{op}, "key %s accepted %s after its withdrawal", op.Key, op.Invoke.Sub(at))
		}
	}
}

// covers reports whether new work at the moment breaks the outage's bound.
func (o *Outage) covers(at time.Time) bool {
	return at.After(o.From.Add(SpreadBound)) && (o.To.IsZero() || at.Before(o.To))
}

// checkDomains finds new work in a failure domain that had been out for more than SpreadBound: transactions begun on
// its members, or by homes in it, and callers' transactions begun at its instances.
func checkDomains(x *index, r *Result) {
	for i := range x.in.Outages {
		o := &x.in.Outages[i]
		if o.Member != "" {
			continue
		}
		checkDomainMembers(x, o, r)
		checkDomainInstances(x, o, r)
	}
}

func checkDomainMembers(x *index, o *Outage, r *Result) {
	for _, b := range x.blocks {
		if len(b.marked) == 0 || !o.covers(x.began(b)) {
			continue
		}
		r.Cases++
		s := b.statements[0]
		if x.in.MemberDomains[MemberKey{s.Group, s.Member}] == o.FailureDomain {
			r.violate(s.Start, b.marked[:1], "new work on member %s in %s, out for %s",
				s.Member, o.FailureDomain, s.Start.Sub(o.From))
		}
		if s.Owner != "" && x.in.InstanceDomains[s.Owner] == o.FailureDomain {
			r.violate(s.Start, b.marked[:1], "new work by home %s in %s, out for %s",
				s.Owner, o.FailureDomain, s.Start.Sub(o.From))
		}
	}
}

func checkDomainInstances(x *index, o *Outage, r *Result) {
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		begins := op.Kind == KindBegin || (op.Transaction == 0 && (op.Kind.IsRead() || op.Kind.IsWrite()))
		if !begins || op.Outcome != OutcomeOK || !o.covers(op.Invoke) {
			continue
		}
		r.Cases++
		if op.FailureDomain == o.FailureDomain {
			r.violate(op.Invoke, []*Operation{op}, "accepted by instance %s in %s, out for %s",
				op.Instance, o.FailureDomain, op.Invoke.Sub(o.From))
		}
	}
}

// checkMembers finds new work on a member that had been leaving for more than SpreadBound.
func checkMembers(x *index, r *Result) {
	for i := range x.in.Outages {
		o := &x.in.Outages[i]
		if o.Member == "" {
			continue
		}
		for _, b := range x.blocks {
			s := b.statements[0]
			if len(b.marked) == 0 || s.Group != o.Group || !o.covers(x.began(b)) {
				continue
			}
			r.Cases++
			if s.Member == o.Member {
				r.violate(s.Start, b.marked[:1], "new work on member %s, leaving for %s", s.Member, s.Start.Sub(o.From))
			}
		}
	}
}

// checkPlanned finds requests within their customer's rate that did not succeed during a planned operation, unless an
// unplanned fault overlapped too.
func checkPlanned(x *index, r *Result) {
	for i := range x.in.Requests {
		q := &x.in.Requests[i]
		if !q.Entitled || x.in.KeyWithdrawn(q) {
			continue
		}
		w, ok := overlapping(x.in.Planned, q.Intended, q.Done)
		if !ok {
			continue
		}
		if _, faulty := overlapping(x.in.Faults, q.Intended, q.Done); faulty {
			continue
		}
		r.Cases++
		if q.Outcome != OutcomeOK {
			op := &Operation{Customer: q.Customer, Group: q.Group}
			r.violate(q.Done, []*Operation{op}, "request %d (%s) ended %s %s during %s",
				q.ID, q.Class, q.Outcome, q.Code, w.Name)
		}
	}
}

func overlapping(windows []Window, from, to time.Time) (Window, bool) {
	for _, w := range windows {
		if w.Overlaps(from, to) {
			return w, true
		}
	}
	return Window{}, false
}
