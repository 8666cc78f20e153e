package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/netfault"
)

// storeCut is how long the owner's machine is partitioned from the store.
const storeCut = 5500 * time.Millisecond

// ackedWrite is an acknowledged write.
type ackedWrite struct {
	id    string
	acked time.Time
}

// readSeen is a successful read in a transaction.
type readSeen struct {
	id, row string
	began   time.Time
}

// playStale partitions the machine that owns a service from the store, and replaces the primary of the service meanwhile, as
// an operator does for a release. Consumers of another machine write; consumers of the machine that is cut off read in
// transactions on a primary route. Each read must see all commits that were acknowledged before its transaction began.
func playStale(recordPath string, trouble bool) outcome {
	f, err := newFleet(recordPath, []string{"ledger"})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return outcome{err: err}
	}
	db := f.databases[0]
	owner, revision := f.owner(db.name)
	if owner == nil {
		return outcome{err: fmt.Errorf("the service has no owner")}
	}
	other := f.instances[0]
	if other == owner {
		other = f.instances[len(f.instances)-1]
	}
	f.record.say("the owner is %s under %d; writes go to %s", owner.name, revision, other.name)
	stop := make(chan struct{})
	var mu sync.Mutex
	var writes []ackedWrite
	var reads []readSeen
	var consumers sync.WaitGroup
	consumers.Go(func() {
		f.repeat(other, stop, func(c *client, n int) bool {
			r := c.do(fmt.Sprintf("WRITE 1a4 v%d", n))
			if r.OK() {
				mu.Lock()
				writes = append(writes, ackedWrite{r.id, r.ended})
				mu.Unlock()
			}
			return !r.Broken
		})
	})
	for range 3 {
		consumers.Go(func() {
			f.repeat(owner, stop, func(c *client, _ int) bool {
				begin := c.do("BEGIN READ")
				if !begin.OK() {
					return false
				}
				r := c.do("READ 1a4")
				if r.OK() {
					mu.Lock()
					reads = append(reads, readSeen{r.id, r.Rows[0], begin.sent})
					mu.Unlock()
				}
				end := c.do("ROLLBACK")
				return end.OK()
			})
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.record.say("%s is partitioned from the store", owner.name)
		owner.store.SetMode(netfault.ToTarget, netfault.Hold)
		owner.store.SetMode(netfault.ToClient, netfault.Hold)
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range db.members {
		if m.primary {
			m.drain()
			break
		}
	}
	time.Sleep(storeCut - 500*time.Millisecond)
	if trouble {
		owner.store.SetMode(netfault.ToTarget, netfault.Forward)
		owner.store.SetMode(netfault.ToClient, netfault.Forward)
		f.record.say("the partition has ended")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	consumers.Wait()
	now, after := f.owner(db.name)
	if now != nil {
		f.record.say("the owner is %s under %d", now.name, after)
	}
	f.record.say("%d writes acknowledged, %d reads in transactions", len(writes), len(reads))
	if len(writes) == 0 || len(reads) == 0 {
		return outcome{err: fmt.Errorf("nothing was served")}
	}
	return outcome{breaches: judgeReads(f, db, writes, reads)}
}

// repeat opens a session at an instance and runs an operation again and again, with a pause after each.
func (f *fleet) repeat(in *instance, stop <-chan struct{}, operation func(c *client, n int) bool) {
	var c *client
	for n := 1; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(30 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = f.dial(in, "p-ledger"); err != nil {
				c = nil
				continue
			}
		}
		if !operation(c, n) {
			c.close()
			c = nil
		}
	}
}

// judgeReads returns the reads that ran on a log without a commit which had been acknowledged before the first byte of their
// transaction, on a primary route. Commits that a promotion rolled back don't count.
func judgeReads(f *fleet, db *database, writes []ackedWrite, reads []readSeen) []string {
	var breaches []string
	for _, r := range reads {
		runs := db.runsOf(r.id)
		if len(runs) != 1 {
			continue
		}
		ran := runs[0]
		missing, first := 0, ackedWrite{}
		for _, w := range writes {
			c := db.committed(w.id)
			if c == nil || c.rolledBack || !w.acked.Before(r.began) || c.number <= ran.position {
				continue
			}
			if missing++; missing == 1 {
				first = w
			}
		}
		if missing == 0 {
			continue
		}
		b := fmt.Sprintf("STALE: read %s of a transaction that began at %.3f ran at %.3f on %s (primary %t), whose log ended at %d: %d commits are missing, the first acknowledged at %.3f",
			r.id, f.record.at(r.began), f.record.at(ran.at), ran.member, ran.primary, ran.position, missing, f.record.at(first.acked))
		f.record.add("%s", b)
		breaches = append(breaches, b)
	}
	return breaches
}
