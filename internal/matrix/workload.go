package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/ctxtime"
)

const (
	// clientCount is the number of callers of a cell.
	clientCount = 4
	// rounds is the number of rounds that each caller runs at least.
	rounds = 3
	// roundPause keeps the histories of cells that wait for a slow step short, because judging them takes longer than
	// running them.
	roundPause = 10 * time.Millisecond
	// plannedRepeats is the number of planned moves in a cell without a fault, movePause the time between them.
	plannedRepeats = 8
	movePause      = 30 * time.Millisecond
	// reachLimit bounds the time that a workload goes on until the fault has fired.
	reachLimit = 2500 * time.Millisecond
	// settle is how long the workload goes on after the fault, so that it meets its consequences. A fault of the primary
	// or of replication is given its whole outage, because a failover takes longer than settle.
	settle = 150 * time.Millisecond
	// healLimit bounds the return to service after all faults are healed.
	healLimit = 8 * time.Second
)

// round is one round of a caller's workload: writes with unique ids, transactions, own reads on the same and on another
// connection, reads with a stated age, and prepared statements.
func (c *client) round(n int) {
	c.run(c.insert())
	c.run(c.update(c.row))
	c.run(c.read(c.row))
	c.reconnect()
	c.run(c.read(c.row))
	c.commitTransaction(n)
	aged := c.read(c.row)
	aged.maxAge = statedAge
	c.run(aged)
	prepared := c.update(c.row)
	prepared.prepared = "update"
	c.run(prepared)
	c.reconnect()
	again := c.read(c.row)
	again.prepared = "read"
	c.run(again)
	c.rollBackTransaction(n)
}

func (c *client) begin() bool {
	c.transaction = check.TransactionID(c.marker())
	ok := c.run(control(check.KindBegin, "BEGIN")) == check.OutcomeOK
	if !ok {
		c.endTransaction()
	}
	return ok
}

// commitTransaction reads and updates the caller's row and the shared one.
func (c *client) commitTransaction(n int) {
	if !c.begin() {
		return
	}
	c.run(c.read(c.row))
	c.run(c.update(c.row))
	if n%2 == 0 {
		c.run(c.update(sharedRow))
	}
	c.run(control(check.KindCommit, "COMMIT"))
	c.endTransaction()
}

// rollBackTransaction leaves a transaction: by ROLLBACK, or by the end of the connection.
func (c *client) rollBackTransaction(n int) {
	if !c.begin() {
		return
	}
	c.run(c.update(c.row))
	if (n+c.number)%2 == 0 {
		c.run(control(check.KindRollback, "ROLLBACK"))
		c.endTransaction()
		return
	}
	c.reconnect()
	// A statement right after it finds a connection that was not cleaned up.
	c.run(c.update(c.row))
}

// endTransaction makes sure that the session is outside of a transaction.
func (c *client) endTransaction() {
	c.transaction = 0
	if c.status != 'I' {
		c.run(control(check.KindRollback, "ROLLBACK"))
	}
	if c.status != 'I' {
		c.reconnect()
	}
}

// exceed sends one write after the other, which is several times the customer's rate.
func (c *client) exceed(until func() bool) {
	var wg sync.WaitGroup
	logs := make([][]check.Operation, 3)
	for i := range logs {
		part := newClient(c.w, clientCount+i, c.customer, c.group)
		wg.Go(func() {
			for !until() {
				if part.run(part.insert()) != check.OutcomeOK {
					ctxtime.Sleep(c.w.ctx, followPause) // a refusal at once must not become a busy loop
				}
			}
			logs[i] = part.log
		})
	}
	wg.Wait()
	for _, log := range logs {
		c.log = append(c.log, log...)
	}
}

// newClients returns the callers of the cell.
func (w *world) newClients() []*client {
	target := w.order[len(w.order)-1]
	customers := []string{plainCustomer, withdrawnCustomer, plainCustomer, overCustomer}
	var list []*client
	for i, customer := range customers {
		list = append(list, newClient(w, i, customer, target))
	}
	if len(w.order) > 1 {
		// The customers' main group works too, so that grants and local admissions come from one bucket.
		list[2].group = mainGroup
	}
	return list
}

// runWorkload runs all callers until the faults fired and their consequences were met.
func (w *world) runWorkload(clients []*client) {
	started := time.Now()
	done := make(chan struct{})
	var firedAt time.Time
	var mu sync.Mutex
	enough := func() bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if firedAt.IsZero() && len(w.in.unfired()) == 0 {
			firedAt = now
		}
		if !firedAt.IsZero() {
			return now.Sub(firedAt) >= w.cell.settle()
		}
		return now.Sub(started) >= reachLimit
	}
	var wg sync.WaitGroup
	for _, c := range clients {
		if c.customer == overCustomer {
			wg.Go(func() { c.exceed(func() bool { return isClosed(done) }) })
		}
	}
	var plain sync.WaitGroup
	for _, c := range clients {
		if c.customer != overCustomer {
			plain.Go(func() {
				for n := 0; n < rounds || !enough(); n++ {
					c.round(n)
					ctxtime.Sleep(w.ctx, roundPause)
				}
			})
		}
	}
	w.tasks.Go(w.runProtocol)
	plain.Wait()
	close(done)
	wg.Wait()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// runProtocol makes the steps of the protocol happen while the workload runs.
func (w *world) runProtocol() {
	w.in.arm()
	switch w.cell.Protocol {
	case ProtocolTakeover:
		w.kill(w.homeOf(mainGroup))
	case ProtocolFailover:
		id := w.primary()
		w.groups[mainGroup].Kill(id)
		w.healAfter(outage, func() { _ = w.groups[mainGroup].Restart(id) })
	case ProtocolSwitchover:
		w.switchover()
	case ProtocolMove:
		for range w.repeats() {
			w.move(mainGroup)
			ctxtime.Sleep(w.ctx, movePause)
		}
	}
}

// repeats returns how often a planned change is carried out: several times in a cell without a fault, so that it meets
// transactions at different points.
func (w *world) repeats() int {
	if len(w.cell.Injections) == 0 {
		return plannedRepeats
	}
	return 1
}

// switchover orders a switchover, again while it is refused: the home may not have heard all members yet.
func (w *world) switchover() {
	ctx, cancel := context.WithTimeout(w.ctx, reachLimit)
	defer cancel()
	for ctx.Err() == nil {
		_, err := w.homeOf(mainGroup).manager.Switchover(ctx, mainGroup, "", "matrix")
		if err == nil || len(w.in.unfired()) < len(w.cell.Injections) {
			return
		}
		ctxtime.Sleep(ctx, lateBy)
	}
}

// verifyService waits until every group serves a write and an own read of each entitled caller after the faults healed.
func (w *world) verifyService(clients []*client) {
	deadline := time.Now().Add(healLimit)
	for _, c := range clients {
		if c.customer == overCustomer || c.customer == withdrawnCustomer && w.isWithdrawn() {
			continue
		}
		for {
			c.reconnect()
			if c.run(c.update(c.row)) == check.OutcomeOK && c.run(c.read(c.row)) == check.OutcomeOK {
				w.assertDrained(c)
				break
			}
			if time.Now().After(deadline) {
				last := c.log[len(c.log)-1]
				w.problem(AssertService, "no write and read within %s after the faults were healed; the last outcome was %s %s",
					healLimit, last.Outcome, last.Code)
				return
			}
			ctxtime.Sleep(w.ctx, 5*time.Millisecond)
		}
	}
}

func (w *world) isWithdrawn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.withdrawals) > 0
}

// settle returns how long the workload of the cell goes on after its last fault.
func (c Cell) settle() time.Duration {
	if len(c.Injections) == 0 {
		return outage + settle
	}
	for _, in := range c.Injections {
		switch in.Fault {
		case FaultKillPrimary, FaultIsolate, FaultLag:
			return outage + settle
		}
	}
	return settle
}
