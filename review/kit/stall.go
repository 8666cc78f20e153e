package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// stallLength is how long consumers send requests.
const stallLength = 106 * time.Second

// stallsInARow is how often the owner freezes before it has a rest.
const stallsInARow = 20

// dashboards is the number of dashboards at each instance, and dashboardGap the time between their reads.
const (
	dashboards   = 8
	dashboardGap = 80 * time.Millisecond
)

// playStall lets the machine that owns the service freeze and wake again and again, each time for half a second, under a few
// requests a second. The processes on the other machines must not end.
func playStall(recordPath string, trouble bool) outcome {
	f, err := newFleet(recordPath, []string{"ledger"})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return outcome{err: err}
	}
	db := f.databases[0]
	db.work = 130 * time.Millisecond
	end := time.Now().Add(stallLength)
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for _, in := range f.instances {
		consumers.Go(func() { f.refresh(in, stop) })
	}
	frozen := make(map[*instance]bool)
	for time.Now().Before(end) {
		time.Sleep(between(300*time.Millisecond, 500*time.Millisecond))
		owner, _ := f.owner(db.name)
		if !trouble || owner == nil {
			continue
		}
		frozen[owner] = true
		for i := 0; i < stallsInARow && time.Now().Before(end); i++ {
			d := between(480*time.Millisecond, 580*time.Millisecond)
			f.record.add("%s freezes for %v", owner.name, d)
			owner.freeze(d)
			time.Sleep(between(40*time.Millisecond, 80*time.Millisecond))
		}
	}
	close(stop)
	consumers.Wait()
	return outcome{breaches: judgeExits(f, frozen)}
}

// exitsOfAMachine and machinesWithExits are the limits of the rule: on that many machines processes end by themselves that
// often, with no impairment there.
const (
	exitsOfAMachine   = 3
	machinesWithExits = 2
)

// judgeExits returns the machines on which processes ended by themselves too often, if there are enough of them. Machines that
// were frozen at any time don't count.
func judgeExits(f *fleet, frozen map[*instance]bool) []string {
	var breaches []string
	total := 0
	for _, in := range f.instances {
		in.mu.Lock()
		f.record.say("%s: %d exits by itself, frozen at times: %t", in.name, len(in.exits), frozen[in])
		if !frozen[in] {
			total += len(in.exits)
			if len(in.exits) >= exitsOfAMachine {
				breaches = append(breaches, fmt.Sprintf("Fault: on %s, which no impairment hit, processes ended by themselves %d times", in.name, len(in.exits)))
			}
		}
		in.mu.Unlock()
	}
	f.record.say("%d exits by themselves on machines without impairment", total)
	if len(breaches) < machinesWithExits {
		return nil
	}
	return breaches
}

// refresh plays the dashboards of an instance: about once a second they read their items one after the other, each in a session
// of its own that stays open.
func (f *fleet) refresh(in *instance, stop <-chan struct{}) {
	sessions := make([]dashboard, dashboards)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(600*time.Millisecond, 900*time.Millisecond)):
		}
		for i := range sessions {
			d := &sessions[i]
			if d.mu.TryLock() {
				running.Go(func() {
					defer d.mu.Unlock()
					d.read(f, in)
				})
			}
			time.Sleep(dashboardGap)
		}
	}
}

// dashboard is one consumer's session; mu is held while it reads.
type dashboard struct {
	mu sync.Mutex
	c  *client
}

func (d *dashboard) read(f *fleet, in *instance) {
	if d.c == nil {
		var err error
		if d.c, err = f.dial(in, "b-ledger"); err != nil {
			d.c = nil
			return
		}
	}
	if r := d.c.do(fmt.Sprintf("READ %x", rand.IntN(2000))); r.Broken {
		d.c.close()
		d.c = nil
	}
}

func between(a, b time.Duration) time.Duration { return a + rand.N(b-a) }
