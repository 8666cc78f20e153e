package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["9"] = transactionsAtColdMember
	optionsOf["9"] = options{instances: 2, warmupPerSecond: warmupPerSecond, lags: []time.Duration{0, 5 * time.Millisecond, 5 * time.Millisecond}}
}

const (
	// warmupPerSecond is the bound of the service for a cold member, coldTime how long a new member is cold.
	warmupPerSecond = 20
	coldTime        = 10 * time.Second
	// coldLimit is the rule's bound for one second: warmupPerS x warmupOverage + warmupSlack.
	coldLimit = warmupPerSecond*3/2 + 5
	// dashboards is the number of consumers, transactionShare the share of their operations that are transactions, in percent.
	dashboards       = 12
	transactionShare = 25
	// operationPause is the pause between two operations of a consumer.
	operationPause = 60 * time.Millisecond
	// replaceAt is when the replica is replaced, dashboardTime the time of the load.
	replaceAt     = 2 * time.Second
	dashboardTime = 14 * time.Second
)

// transactionsAtColdMember replaces a replica under load: the new one starts cold, the old one leaves.
func transactionsAtColdMember(e *environment) (bool, error) {
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { e.writeRegularly(stop) })
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	for i := range dashboards {
		load.Go(func() {
			e.readDashboards(i, stop, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sent[id] = time.Now()
			})
		})
	}
	time.Sleep(replaceAt)
	cold := ""
	var warmAt time.Time
	if e.trouble {
		m, err := e.group.add("i-new", zones[2], 5*time.Millisecond, coldTime)
		if err != nil {
			return false, err
		}
		cold, warmAt = m.id, m.started.Add(coldTime)
		e.record.printf("member %s has started, cold for %s; member i-2 announces its shutdown", cold, coldTime)
		e.group.members[2].drain()
		time.AfterFunc(8*time.Second, e.group.members[2].close)
	}
	time.Sleep(dashboardTime - replaceAt)
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	var arrivals []run
	for _, r := range e.group.snapshot() {
		if r.member == cold && r.at.Before(warmAt) {
			arrivals = append(arrivals, r)
		}
	}
	e.record.printf("requests at the member while it was cold: %d", len(arrivals))
	most := 0
	for i, last := range arrivals {
		n := 0
		from := last.at.Add(-time.Second)
		for _, r := range arrivals[:i+1] {
			if r.at.After(from) && sent[r.id].After(from) {
				n++
			}
		}
		most = max(most, n)
	}
	e.record.printf("most requests in one second at the cold member: %d, the rule allows %d", most, coldLimit)
	return most > coldLimit, nil
}

// readDashboards runs reads and read transactions until stop is closed.
func (e *environment) readDashboards(i int, stop <-chan struct{}, sent func(id string)) {
	name := fmt.Sprintf("consumer-%d", i)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(operationPause):
		}
		c, err := connect(name, e.processes[i%len(e.processes)].callers(), "meters", fmt.Sprintf("key-mill%d", 1+i%7), e.record)
		if err != nil {
			continue
		}
		transaction := (n*37+i*11)%100 < transactionShare
		length := 1
		if transaction {
			c.query(fmt.Sprintf("b-%d-%d", i, n), "BEGIN READ")
			length = 3 + (n+i)%10
		}
		ok := true
		for k := 0; k < length && ok; k++ {
			id := fmt.Sprintf("r-%d-%d-%d", i, n, k)
			sent(id)
			ok = c.query(id, "READ plant-7").OK()
		}
		if transaction && ok {
			id := fmt.Sprintf("c-%d-%d", i, n)
			sent(id)
			c.query(id, "COMMIT")
		}
		c.close()
	}
}
