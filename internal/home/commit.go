package home

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/position"
)

// Reasons why a commit is not acknowledged. In all cases, it may have taken effect.
var (
	errTermChanged     = errors.New("the primary was replaced before a majority had received the commit")
	errNoReceipt       = errors.New("no majority received the commit before the deadline")
	errCommitRoleEnded = errors.New("the home role ended before a majority had received the commit")
	errCommitStopped   = errors.New("the request was stopped before a majority had received the commit")
)

// commitStallTimeout is how long the oldest commit may wait for quorum receipt before new writes are held back. A
// primary that is partitioned from its replicas still accepts writes, whose outcome is then unknown. Quorum receipt
// usually takes 2 ms, and a failover decision takes longer than 250 ms.
const commitStallTimeout = 250 * time.Millisecond

// commitWaiter is a commit that waits for quorum receipt, that is, until a majority of members has received its log
// record.
type commitWaiter struct {
	position position.Position
	since    time.Time
	// done receives nil on quorum receipt, or the reason why the wait ended without it.
	done chan error
}

// awaitReceipt blocks until a majority of members has received the log up to p in p's term.
func (g *Group) awaitReceipt(c *call, p position.Position) error {
	started := g.now()
	g.mu.Lock()
	if g.tracker.MajorityReceived(p) {
		g.mu.Unlock()
		g.metrics.commitWait.Observe(0)
		return nil
	}
	if err := g.commitError(p); err != nil {
		g.mu.Unlock()
		return err
	}
	w := &commitWaiter{position: p, since: started, done: make(chan error, 1)}
	c.state = callAwaitingQuorum
	c.commit = w
	g.commits = append(g.commits, w)
	if c.stopped.Load() != stopNone {
		g.abortCommitWaitLocked(w, errCommitStopped)
	}
	g.mu.Unlock()
	err := g.waitCommit(w, c.deadline.Sub(started))
	g.metrics.commitWait.Observe(g.now().Sub(started).Seconds())
	return err
}

func (g *Group) waitCommit(w *commitWaiter, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
		g.abortCommitWait(w, errNoReceipt)
		return <-w.done // nil if quorum receipt came in between
	}
}

// commitError returns the reason why the position can no longer get quorum receipt, or nil if it can.
func (g *Group) commitError(p position.Position) error {
	switch {
	case g.phase == phaseClosed:
		return errCommitRoleEnded
	case g.term > p.Term || g.tracker.Acknowledged().Term > p.Term:
		return errTermChanged
	default:
		return nil
	}
}

// commitsStalled reports whether the oldest commit has waited longer than commitStallTimeout. New writes would probably
// end with an unknown outcome too.
func (g *Group) commitsStalled(now time.Time) bool {
	return len(g.commits) > 0 && now.Sub(g.commits[0].since) > commitStallTimeout
}

// completeCommits ends the wait of commits that have quorum receipt or can no longer get it. The group must be locked.
func (g *Group) completeCommits() {
	left := g.commits[:0]
	for _, w := range g.commits {
		err := g.commitError(w.position)
		if err == nil && !g.tracker.MajorityReceived(w.position) {
			left = append(left, w)
			continue
		}
		w.done <- err
	}
	if len(left) == len(g.commits) {
		return
	}
	clear(g.commits[len(left):])
	g.commits = left
	g.dispatch(g.now())
}

// abortCommitWait ends the wait with the error if it has not ended yet.
func (g *Group) abortCommitWait(w *commitWaiter, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortCommitWaitLocked(w, err)
}

func (g *Group) abortCommitWaitLocked(w *commitWaiter, err error) {
	for i, other := range g.commits {
		if other == w {
			g.commits = append(g.commits[:i], g.commits[i+1:]...)
			w.done <- err
			g.dispatch(g.now())
			return
		}
	}
}

// failCommits ends all commit waits, because the home role ended.
func (g *Group) failCommits() {
	for _, w := range g.commits {
		w.done <- errCommitRoleEnded
	}
	g.commits = nil
}
