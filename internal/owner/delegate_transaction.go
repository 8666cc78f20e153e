package owner

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/upstream"
)

// runInDelegatedTransaction runs a statement of a transaction that this instance holds as the group's delegate. A transaction does
// not depend on whether this instance would still accept new reads.
func (m *Manager) runInDelegatedTransaction(ctx context.Context, r *operation.Request) operation.Response {
	if r.CatalogRevision > m.o.Catalog().Revision {
		m.o.CatchUp(ctx, r.CatalogRevision)
	}
	d := m.knownDelegate(r.Group)
	if d == nil || !d.g.hasTransaction(r.Session) {
		return aborted("the transaction was rolled back: its delegate has lost the member or it was idle for too long")
	}
	return d.g.runInTransaction(ctx, r)
}

// EndRead implements operation.ReadRunner.
func (m *Manager) EndRead(_ context.Context, id upstream.GroupID, s operation.SessionID) {
	if d := m.knownDelegate(id); d != nil {
		d.g.endTransaction(s)
	}
}

// covers reports whether the loan permits a transaction on the connection to go on. It may on a member that is leaving, until the
// loan lapses. The group is locked.
func (d *Delegate) covers(l *memberConn, now time.Time) bool {
	grant, ok := d.borrower.Grant(now)
	m, known := d.find(grant.Member)
	return ok && known && m.Born == grant.Born && m.Address == grant.Address && l.isTo(m) && !d.g.o.Authority.DomainOut(m.Domain)
}

// abandonTransactions closes the connections of the transactions that the loan does not cover any more, since the owner counts them
// as free, and of those beyond its share. The group is locked.
func (d *Delegate) abandonTransactions(now time.Time) {
	grant, _ := d.borrower.Grant(now)
	open := 0
	for s, t := range d.g.txs {
		switch {
		case t.memberConn.isClosed():
		case open < grant.Share.Connections && d.covers(t.memberConn, now):
			open++
		default:
			d.g.abandonTransaction(s, t, errLoanEnded)
		}
	}
}
