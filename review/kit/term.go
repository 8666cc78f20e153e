package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// termLength is how long consumers send requests.
	termLength = 95 * time.Second
	// requestsPerSecond is the rate of the whole deployment.
	requestsPerSecond = 360
	// lossSlack is lossSlackMs of the settings.
	lossSlack = 200 * time.Millisecond
)

// stopping is a planned stop: a SIGTERM, and the end of the process.
type stopping struct {
	in         *instance
	from, took time.Time
}

// cut is a request whose connection ended without a complete answer.
type cut struct {
	reply
	in       *instance
	database *database
	text     string
}

// playTerm stops the instances one after the other, as in an ordinary replacement, while consumers open a session for each
// operation. No request may be cut off.
func playTerm(recordPath string, trouble bool) outcome {
	f, err := newFleet(recordPath, []string{"ledger", "meters", "grid"})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return outcome{err: err}
	}
	idle, _ := strconv.Atoi(os.Getenv("IDLE"))
	end := time.Now().Add(termLength)
	var mu sync.Mutex
	var cuts []cut
	var stops []stopping
	sent, answered := 0, 0
	var consumers sync.WaitGroup
	for range idle {
		consumers.Go(func() { f.stayIdle(end) })
	}
	consumers.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / requestsPerSecond))
			consumers.Go(func() {
				c, ok := f.single()
				mu.Lock()
				defer mu.Unlock()
				if !ok {
					return
				}
				sent++
				if c.Broken && !c.unsent {
					cuts = append(cuts, c)
				} else {
					answered++
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	for i := 0; trouble && time.Until(end) > 8*time.Second; i++ {
		in := f.instances[i%len(f.instances)]
		s := stopping{in: in, from: time.Now()}
		owned := ""
		for _, db := range f.databases {
			if o, _ := f.owner(db.name); o == in {
				owned += " " + db.name
			}
		}
		f.record.add("SIGTERM to %s, owner of%s", in.name, owned)
		took := in.terminate()
		s.took = time.Now()
		f.record.say("%s ended %.3f s after SIGTERM; owner of%s; in rotation: %t", in.name, took.Seconds(), owned, in.inRotation())
		mu.Lock()
		stops = append(stops, s)
		mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		if err := f.await(startLimit, in.name+" is back", in.inRotation); err != nil {
			return outcome{err: err}
		}
	}
	consumers.Wait()
	f.record.say("%d requests sent, %d answered, %d cut, %d planned stops", sent, answered, len(cuts), len(stops))
	return outcome{breaches: judgeCuts(f, cuts, stops)}
}

// stayIdle keeps a session open that sends nothing, and connects again when it is closed.
func (f *fleet) stayIdle(end time.Time) {
	for time.Now().Before(end) {
		c, err := f.dial(f.pick(), "p-ledger")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = c.conn.SetReadDeadline(end)
		_, _ = c.in.ReadByte()
		c.close()
	}
}

// single runs one operation in a session of its own. It returns false when the session could not be opened.
func (f *fleet) single() (cut, bool) {
	db := f.databases[rand.IntN(len(f.databases))]
	in := f.pick()
	prefix, text := "r-", fmt.Sprintf("READ %x", rand.IntN(2000))
	switch n := rand.IntN(100); {
	case n < 15:
		prefix = "p-"
	case n < 30:
		prefix = "b-"
	}
	if rand.IntN(100) < 12 && prefix != "b-" {
		text = fmt.Sprintf("WRITE %x d%d", rand.IntN(2000), rand.IntN(1e6))
	}
	c, err := f.dial(in, prefix+db.name)
	if err != nil {
		return cut{}, false
	}
	defer c.close()
	return cut{reply: c.do(text), in: in, database: db, text: text}, true
}

// judgeCuts returns the requests that were cut off against the rule LOST: around a planned stop of the machine that took the
// request from the consumer, until one second after the grace time, either once it had been passed on to a member or later
// than lossSlack after its last byte. Cuts in the last sixth of the grace time are left out.
func judgeCuts(f *fleet, cuts []cut, stops []stopping) []string {
	var breaches []string
	for _, c := range cuts {
		for _, s := range stops {
			after := c.ended.Sub(s.from)
			if s.in != c.in || after < 0 || c.sent.Sub(s.from) > graceTime+time.Second || after > graceTime*5/6 {
				continue
			}
			runs := c.database.runsOf(c.id)
			waited := c.ended.Sub(c.sent)
			if len(runs) == 0 && waited <= lossSlack {
				continue
			}
			b := fmt.Sprintf("LOST: %s %q, sent to %s %.3f s after its SIGTERM at %.3f, was run by %d members, and its connection ended after %.3f s without an answer (%.3f s after the SIGTERM)",
				c.id, c.text, c.in.name, c.sent.Sub(s.from).Seconds(), f.record.at(s.from), len(runs), waited.Seconds(), after.Seconds())
			f.record.add("%s", b)
			breaches = append(breaches, b)
		}
	}
	return breaches
}
