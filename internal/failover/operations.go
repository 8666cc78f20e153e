package failover

import (
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

// operationKind is a kind of operation on a member.
type operationKind uint8

const (
	opClaim operationKind = iota
	opFence
	opPromote
	opFollow
	operationKinds
)

// operation is the open or last operation of one kind on one member.
type operation struct {
	id   OperationID
	open bool
	// number is the generation or the term of the operation.
	number uint64
	// lostAt is when an open operation's result counts as lost, and retryAt when a failed one may be repeated.
	lostAt  time.Time
	retryAt time.Time
}

// due reports whether the operation may be sent now: it has another number than the last one, or the last one has ended
// and its retry time has come.
func (o *operation) due(number uint64, now time.Time) bool {
	if o.number != number {
		return true
	}
	return !o.open && !now.Before(o.retryAt)
}

// open starts an operation unless it is not due, and reports whether it did.
func (m *Machine) open(k *memberState, kind operationKind, number uint64, now time.Time) (OperationID, bool) {
	o := &k.operations[kind]
	if !o.due(number, now) {
		return 0, false
	}
	m.lastOp++
	*o = operation{
		id:     m.lastOp,
		open:   true,
		number: number,
		lostAt: now.Add(m.timing.OperationTimeout + lostMargin),
	}
	return o.id, true
}

// finishOperation records the end of an operation. Results of operations that were replaced by later ones are dropped.
func (m *Machine) finishOperation(id OperationID, err *upstream.MemberError, now time.Time) {
	k, kind := m.findOperation(id)
	if k == nil {
		return
	}
	o := &k.operations[kind]
	o.open = false
	o.retryAt = now.Add(m.timing.RetryInterval)
	if err == nil {
		return
	}
	switch err.Kind {
	case upstream.ErrStale:
		k.heardAt = now
		if kind == opFollow {
			k.refusesFollow = true
		}
		// The member's status tells what it accepted instead.
		m.sendProbe(k, now)
	case upstream.ErrRefused:
		k.refused = true
	}
}

func (m *Machine) findOperation(id OperationID) (*memberState, operationKind) {
	for _, k := range m.members {
		for kind := range k.operations {
			if o := &k.operations[kind]; o.open && o.id == id {
				return k, operationKind(kind)
			}
		}
	}
	return nil, 0
}

// expireOperations ends operations and probes whose result never came.
func (m *Machine) expireOperations(now time.Time) {
	for _, k := range m.members {
		for kind := range k.operations {
			if o := &k.operations[kind]; o.open && !now.Before(o.lostAt) {
				o.open = false
				o.retryAt = now
			}
		}
		if k.probe.open && now.Sub(k.probe.sentAt) > m.timing.ProbeTimeout+lostMargin {
			k.probe.open = false
			k.probeFailed(upstream.ErrUnreachable, now)
		}
	}
}

func (m *Machine) sendProbe(k *memberState, now time.Time) {
	if k.probe.open {
		return
	}
	k.probe = probe{open: true, sentAt: now}
	m.act(Probe{Member: k.ID, Timeout: m.timing.ProbeTimeout})
}

// probeEvery probes the member unless a probe was sent within the interval.
func (m *Machine) probeEvery(k *memberState, interval time.Duration, now time.Time) {
	if now.Sub(k.probe.sentAt) >= interval {
		m.sendProbe(k, now)
	}
}

func (m *Machine) sendClaim(k *memberState, now time.Time) {
	c := m.claim.claim
	if id, ok := m.open(k, opClaim, c.Generation, now); ok {
		m.act(Claim{Op: id, Member: k.ID, Claim: c, Timeout: m.timing.OperationTimeout})
	}
}

// sendFence fences a member in the term of the attempt or, to make it follow, in the primary's term.
func (m *Machine) sendFence(k *memberState, now time.Time) {
	t := m.workTerm()
	if id, ok := m.open(k, opFence, uint64(t), now); ok {
		m.act(Fence{Op: id, Member: k.ID, Term: t, Owner: m.owner(), Timeout: m.timing.OperationTimeout})
	}
}

func (m *Machine) sendPromote(k *memberState, now time.Time) {
	t := m.attempt.term
	if id, ok := m.open(k, opPromote, uint64(t), now); ok {
		m.act(Promote{Op: id, Member: k.ID, Term: t, Owner: m.owner(), Timeout: m.timing.OperationTimeout})
	}
}

func (m *Machine) sendFollow(k *memberState, now time.Time) {
	if id, ok := m.open(k, opFollow, uint64(m.term), now); ok {
		m.act(Follow{Op: id, Member: k.ID, Term: m.term, Owner: m.owner(), Primary: m.primary.ID, Timeout: m.timing.OperationTimeout})
	}
}
