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
	dashboards   = 7
	dashboardGap = 100 * time.Millisecond
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
	db.work = 80 * time.Millisecond
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
			d := between(500*time.Millisecond, 600*time.Millisecond)
			f.record.add("%s freezes for %v", owner.name, d)
			owner.freeze(d)
			time.Sleep(between(40*time.Millisecond, 80*time.Millisecond))
		}
	}
	close(stop)
	consumers.Wait()
	var breaches []string
	for _, in := range f.instances {
		in.mu.Lock()
		f.record.say("%s: %d exits by itself, frozen at times: %t", in.name, len(in.exits), frozen[in])
		for _, e := range in.exits {
			breaches = append(breaches, fmt.Sprintf("%s ended by itself at %.3f: %v", in.name, f.record.at(e.at), e.err))
		}
		in.mu.Unlock()
	}
	return outcome{breaches: breaches}
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
		case <-time.After(between(700*time.Millisecond, 1000*time.Millisecond)):
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
