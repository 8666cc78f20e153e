package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

func init() {
	cases["9"] = transactionsInEvacuatedZone
	optionsOf["9"] = options{instances: 2, lags: []time.Duration{0, 5 * time.Millisecond, 5 * time.Millisecond}}
}

const (
	// evacuateTime is the bound evacuateMs of the settings.
	evacuateTime = 5 * time.Second
	// statements is the number of statements of a transaction, statementPause the pause between two of them.
	statements     = 12
	statementPause = 650 * time.Millisecond
	// readers is the number of consumers.
	readers = 6
)

// transactionsInEvacuatedZone lets consumers read in transactions with pauses. After the first statements the operator evacuates the
// zone of a replica that serves some of them.
func transactionsInEvacuatedZone(e *environment) (bool, error) {
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { e.writeRegularly(stop) })
	defer background.Wait()
	defer close(stop)
	time.Sleep(time.Second)

	first := make(chan string, readers)
	var consumers sync.WaitGroup
	for i := range readers {
		consumers.Go(func() { e.readSlowly(i, first) })
	}
	served := make(map[string]bool)
	for range readers {
		if id := <-first; id != "" {
			served[id] = true
		}
	}
	zone := ""
	for _, r := range e.group.snapshot() {
		if served[r.id] && r.domain != zones[0] {
			zone = r.domain
		}
	}
	if zone == "" {
		consumers.Wait()
		return false, errNotServed
	}
	var acknowledged time.Time
	if e.trouble {
		e.store.Put(e.names.EvacuatePrefix+zone, struct{}{})
		acknowledged = time.Now()
		e.record.printf("the store has acknowledged the evacuation of %s", zone)
	}
	consumers.Wait()
	time.Sleep(200 * time.Millisecond)
	late := 0
	for _, r := range e.group.snapshot() {
		if after := r.at.Sub(acknowledged); e.trouble && r.domain == zone && after > evacuateTime {
			e.record.printf("EVAC: request %s reached member %s in %s %d ms after the evacuation was acknowledged", r.id, r.member, r.domain, after.Milliseconds())
			late++
		}
	}
	return late > 0, nil
}

// readSlowly reads in one transaction. It sends the id of the first statement, or "" if that was not served.
func (e *environment) readSlowly(i int, first chan<- string) {
	name := fmt.Sprintf("consumer-%d", i)
	c, err := connect(name, e.processes[i%len(e.processes)].callers(), "meters", fmt.Sprintf("key-mill%d", 1+i%4), e.record)
	if err != nil {
		first <- ""
		return
	}
	defer c.close()
	var a platformtest.Answer
	c.logged(fmt.Sprintf("b-%d", i), "BEGIN READ")
	for n := range statements {
		id := fmt.Sprintf("r-%d-%d", i, n)
		a = c.logged(id, "READ plant-7")
		if n == 0 && a.OK() {
			first <- id
		} else if n == 0 {
			first <- ""
		}
		if !a.OK() {
			return
		}
		time.Sleep(statementPause)
	}
	c.logged(fmt.Sprintf("c-%d", i), "COMMIT")
}

// writeRegularly writes ten times a second, so that the positions of the primary are known.
func (e *environment) writeRegularly(stop <-chan struct{}) {
	c, err := connect("writer", e.processes[0].callers(), "orders", "key-mill8", e.record)
	if err != nil {
		return
	}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if c.query(fmt.Sprintf("w-%d", n), fmt.Sprintf("WRITE plant-8 %d", n)).Broken {
			return
		}
	}
}
