package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["7"] = promotionAfterStoreOutage
	optionsOf["7"] = options{instances: 2, syncReplicas: 1, lags: []time.Duration{0, 2 * time.Millisecond, 2 * time.Millisecond}}
}

const (
	// deafTime is how long a replica receives nothing.
	deafTime = 6500 * time.Millisecond
	// outageTime is how long the store is down, deafDelay the time from its beginning until the replica receives nothing.
	outageTime = 4500 * time.Millisecond
	deafDelay  = 1500 * time.Millisecond
	// entryTimeout is the silence after which the store removes the entry of a member: three heartbeats.
	entryTimeout = 3 * heartbeat
	// returnTime is the time from the end of the outage until the entries of the primary and the other replica are back: less than the
	// two seconds that members have.
	returnTime = 1700 * time.Millisecond
	// outageWriters is the number of consumers that write, outageWritePause their pause.
	outageWriters    = 4
	outageWritePause = 50 * time.Millisecond
)

// promotionAfterStoreOutage takes the store down for so long that the entries of the members expire, while a replica receives nothing.
// The primary and the other replica work all the time. The entry of the deaf replica is the first that comes back.
func promotionAfterStoreOutage(e *environment) (bool, error) {
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range outageWriters {
		load.Go(func() { e.writeUntil(i, stop) })
	}
	time.Sleep(2 * time.Second)
	deaf := e.group.members[2]
	if e.trouble {
		e.setStoreDown(true)
		time.Sleep(deafDelay)
		e.group.setDeaf(deaf, true)
		time.AfterFunc(deafTime, func() { e.group.setDeaf(deaf, false) })
		time.Sleep(entryTimeout - deafDelay)
		for _, m := range e.group.members {
			m.expire()
		}
		time.Sleep(outageTime - entryTimeout)
		e.setStoreDown(false)
		deaf.resume()
		time.Sleep(returnTime)
		e.group.members[1].resume()
		e.group.members[0].resume()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	load.Wait()
	lost := e.group.lostCommits()
	e.record.printf("acknowledged commits that are not in the log of the promoted member: %d", len(lost))
	return len(lost) > 0, nil
}

// setStoreDown closes or opens the way of all processes and members to the store.
func (e *environment) setStoreDown(down bool) {
	for _, g := range e.gates {
		g.set(down)
	}
	for _, m := range e.group.members {
		m.pause(down)
	}
	e.record.printf("the store is down: %t", down)
}

// writeUntil writes until stop is closed.
func (e *environment) writeUntil(i int, stop <-chan struct{}) {
	name := fmt.Sprintf("consumer-%d", i)
	for n := 0; ; {
		c, err := connect(name, e.processes[i%len(e.processes)].callers(), "orders", fmt.Sprintf("key-mill%d", 1+i), e.record)
		for err == nil {
			n++
			id := fmt.Sprintf("w-%d-%d", i, n)
			a := c.query(id, fmt.Sprintf("WRITE plant-%d %d", i, n))
			if a.OK() {
				e.record.printf("%s is told that %s is committed: %s", name, id, a.Receipt)
			}
			select {
			case <-stop:
				c.close()
				return
			case <-time.After(outageWritePause):
			}
			if a.Broken {
				break
			}
		}
		if err == nil {
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(outageWritePause):
		}
	}
}
