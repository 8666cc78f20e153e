package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["8"] = largePreparedStatements
	optionsOf["8"] = options{instances: 2, lags: []time.Duration{0, 5 * time.Millisecond, 5 * time.Millisecond}}
}

const (
	// machineMemoryMB is the memory of a machine in the settings.
	machineMemoryMB = 284
	// largeShape and smallShape are the lengths in bytes of the shapes of prepared statements. A message has at most 1 MiB.
	largeShape, smallShape = 900 << 10, 100
	// tenants is the number of tenants; one consumer of each has one session at a time.
	tenants = 8
	// sessionsEach bounds the sessions of a consumer, loadTime the time of the load.
	sessionsEach = 150
	loadTime     = 75 * time.Second
)

// largePreparedStatements lets one consumer of each tenant open one session after the other, prepare one statement in it, execute it
// and leave. A process whose memory passes that of its machine is killed, as the platform does.
func largePreparedStatements(e *environment) (bool, error) {
	size := smallShape
	if e.trouble {
		size = largeShape
	}
	var stop atomic.Bool
	var served, failed atomic.Int64
	var consumers sync.WaitGroup
	for tenant := 1; tenant <= tenants; tenant++ {
		consumers.Go(func() {
			for n := 0; n < sessionsEach && !stop.Load(); n++ {
				if e.prepareOnce(tenant, n, size) {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { consumers.Wait(); close(done) }()
	broken := false
	most := make([]int, len(e.processes))
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	end := time.After(loadTime)
	next := time.Now()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-end:
			running = false
		case <-ticker.C:
		}
		for i, p := range e.processes {
			memory := p.residentMB()
			most[i] = max(most[i], memory)
			if memory > machineMemoryMB && !p.hasEnded() {
				e.record.printf("OVER THE MEMORY: %s holds %d MB, its machine has %d MB; the platform kills it", p.name, memory, machineMemoryMB)
				_ = p.cmd.Process.Kill()
				broken, running = true, false
			}
		}
		if time.Now().After(next) {
			next = time.Now().Add(2 * time.Second)
			e.record.printf("resident memory in MB, most so far: %v; statements served %d, not served %d", most, served.Load(), failed.Load())
		}
	}
	stop.Store(true)
	<-done
	e.record.printf("resident memory in MB, most: %v; statements served %d, not served %d", most, served.Load(), failed.Load())
	if served.Load() == 0 {
		return broken, errNotServed
	}
	return broken, nil
}

// prepareOnce runs one session. It reports whether its statement was served.
func (e *environment) prepareOnce(tenant, n, size int) bool {
	p := e.processes[n%len(e.processes)]
	if p.hasEnded() {
		return false
	}
	name := fmt.Sprintf("consumer-%d", tenant)
	c, err := connect(name, p.callers(), "orders", fmt.Sprintf("key-mill%d", tenant), e.record)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	defer c.close()
	prefix := fmt.Sprintf("q-%d-%d-", tenant, n)
	shape := prefix + strings.Repeat("x", size-len(prefix))
	if !c.query("p"+prefix, "PREPARE s1 READ "+shape).OK() {
		return false
	}
	a := c.query("e"+prefix, "EXECUTE s1 plant-7")
	if n == 0 {
		e.record.printf("%s: PREPARE of %d bytes and EXECUTE, answered with code %q receipt %q", name, size, a.Code, a.Receipt)
	}
	return a.OK()
}
