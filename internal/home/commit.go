package home

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/position"
)

// Errors of a commit's acknowledgement. In all cases the commit may have taken effect.
var (
	errTermChanged  = errors.New("the primary was replaced before a majority had received the commit")
	errNoReceipt    = errors.New("no majority received the commit before the deadline")
	errCommitClosed = errors.New("the home role ended before a majority had received the commit")
	errCommitStop   = errors.New("the request was stopped before a majority had received the commit")
)

// commitStall is the time without quorum receipt after which no further writes are sent. A primary that is cut off from
// its replicas accepts writes that end as unknown; 250 ms is far above a receipt's usual 2 ms and below the time that a
// failover takes to be decided.
const commitStall = 250 * time.Millisecond

// commitWaiter is a commit that waits for quorum receipt.
type commitWaiter struct {
	position position.Position
	since    time.Time
	// done gets nil after quorum receipt, or the reason why it can no longer come.
	done chan error
}

// awaitReceipt blocks until a majority of members has received the position in its own term.
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
	c.state = callSettling
	c.commit = w
	g.commits = append(g.commits, w)
	if c.stopped.Load() != stopNone {
		g.dropCommitLocked(w, errCommitStop)
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
		g.dropCommit(w, errNoReceipt)
		return <-w.done // receipt may have come in between
	}
}

// commitError returns why the position can no longer get quorum receipt, or nil.
func (g *Group) commitError(p position.Position) error {
	switch {
	case g.phase == phaseClosed:
		return errCommitClosed
	case g.term > p.Term || g.tracker.Acknowledged().Term > p.Term:
		return errTermChanged
	default:
		return nil
	}
}

// commitsStalled reports whether the oldest commit has waited for so long that more writes would only add unknown
// outcomes.
func (g *Group) commitsStalled(now time.Time) bool {
	return len(g.commits) > 0 && now.Sub(g.commits[0].since) > commitStall
}

// settleCommits ends the wait of commits that were received or no longer can be. The group must be locked.
func (g *Group) settleCommits() {
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

// dropCommit ends one wait with the error if it has not ended yet.
func (g *Group) dropCommit(w *commitWaiter, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropCommitLocked(w, err)
}

func (g *Group) dropCommitLocked(w *commitWaiter, err error) {
	for i, other := range g.commits {
		if other == w {
			g.commits = append(g.commits[:i], g.commits[i+1:]...)
			w.done <- err
			g.dispatch(g.now())
			return
		}
	}
}

// failCommits ends the waits that match because the home role ended.
func (g *Group) failCommits() {
	for _, w := range g.commits {
		w.done <- errCommitClosed
	}
	g.commits = nil
}
