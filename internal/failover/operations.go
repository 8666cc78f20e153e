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

// operation is the latest operation of one kind on one member; open is true while it is in flight.
type operation struct {
	id   OperationID
	open bool
	// epoch is the generation of a claim, or the term of any other operation.
	epoch uint64
	// expiresAt is when the result of an operation in flight counts as lost, and retryAt when a completed operation may
	// be retried.
	expiresAt time.Time
	retryAt   time.Time
}

// due reports whether an operation of the epoch may be sent now: the last one had another epoch, or it has completed and
// its retry time has passed.
func (o *operation) due(epoch uint64, now time.Time) bool {
	if o.epoch != epoch {
		return true
	}
	return !o.open && !now.Before(o.retryAt)
}

// open starts an operation if it is due, and reports whether it did.
func (m *Machine) open(member *memberState, kind operationKind, epoch uint64, now time.Time) (OperationID, bool) {
	o := &member.operations[kind]
	if !o.due(epoch, now) {
		return 0, false
	}
	m.lastOp++
	*o = operation{
		id:        m.lastOp,
		open:      true,
		epoch:     epoch,
		expiresAt: now.Add(m.timing.OperationTimeout + resultGrace),
	}
	return o.id, true
}

// finishOperation records the completion of an operation. Results of superseded operations are ignored.
func (m *Machine) finishOperation(id OperationID, err *upstream.MemberError, now time.Time) {
	member, kind := m.findOperation(id)
	if member == nil {
		return
	}
	o := &member.operations[kind]
	o.open = false
	o.retryAt = now.Add(m.timing.RetryInterval)
	if err == nil {
		return
	}
	switch err.Kind {
	case upstream.ErrStale:
		member.lastContact = now
		if kind == opFollow {
			member.followRefused = true
		}
		// The status shows which term or claim the member accepted instead.
		m.sendProbe(member, now)
	case upstream.ErrRefused:
		member.refused = true
	}
}

func (m *Machine) findOperation(id OperationID) (*memberState, operationKind) {
	for _, member := range m.members {
		for kind := range member.operations {
			if o := &member.operations[kind]; o.open && o.id == id {
				return member, operationKind(kind)
			}
		}
	}
	return nil, 0
}

// expireOperations ends operations and probes whose result did not arrive in time.
func (m *Machine) expireOperations(now time.Time) {
	for _, member := range m.members {
		for kind := range member.operations {
			if o := &member.operations[kind]; o.open && !now.Before(o.expiresAt) {
				o.open = false
				o.retryAt = now
			}
		}
		if member.probe.open && now.Sub(member.probe.sentAt) > m.timing.ProbeTimeout+resultGrace {
			member.probe.open = false
			member.probeFailed(upstream.ErrUnreachable, now)
		}
	}
}

func (m *Machine) sendProbe(member *memberState, now time.Time) {
	if member.probe.open {
		return
	}
	member.probe = probe{open: true, sentAt: now}
	m.emit(Probe{Member: member.ID, Timeout: m.timing.ProbeTimeout})
}

// probeEvery probes the member unless a probe was sent within the interval.
func (m *Machine) probeEvery(member *memberState, interval time.Duration, now time.Time) {
	if now.Sub(member.probe.sentAt) >= interval {
		m.sendProbe(member, now)
	}
}

func (m *Machine) sendClaim(member *memberState, now time.Time) {
	c := m.claim.claim
	if id, ok := m.open(member, opClaim, c.Generation, now); ok {
		m.emit(Claim{Op: id, Member: member.ID, Claim: c, Timeout: m.timing.OperationTimeout})
	}
}

// sendFence fences a member in the term of the running attempt or, so that it can follow, in the primary's term.
func (m *Machine) sendFence(member *memberState, now time.Time) {
	t := m.fencingTerm()
	if id, ok := m.open(member, opFence, uint64(t), now); ok {
		m.emit(Fence{Op: id, Member: member.ID, Term: t, Owner: m.owner(), Timeout: m.timing.OperationTimeout})
	}
}

func (m *Machine) sendPromote(member *memberState, now time.Time) {
	t := m.attempt.term
	if id, ok := m.open(member, opPromote, uint64(t), now); ok {
		m.emit(Promote{Op: id, Member: member.ID, Term: t, Owner: m.owner(), Timeout: m.timing.OperationTimeout})
	}
}

func (m *Machine) sendFollow(member *memberState, now time.Time) {
	if id, ok := m.open(member, opFollow, uint64(m.term), now); ok {
		m.emit(Follow{Op: id, Member: member.ID, Term: m.term, Owner: m.owner(), Primary: m.primary.ID, Timeout: m.timing.OperationTimeout})
	}
}
