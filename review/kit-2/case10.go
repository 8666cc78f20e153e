package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["10"] = rateWhileStoreRejectsOwner
	optionsOf["10"] = options{instances: 3, lags: []time.Duration{0, 5 * time.Millisecond, 5 * time.Millisecond}}
}

const (
	// hotTenant is the tenant that sends more than its rate. tenantRate and tenantBurst are its contract in the configuration.
	hotTenant               = 1
	tenantRate, tenantBurst = 205, 205
	// quotaWindow, quotaOverage and quotaSlack are bounds of the settings.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// calmTime is the time before the disruption, in which the tenant sends nothing and its burst fills up.
	calmTime = 6300 * time.Millisecond
	// hotDelay is the time from the disruption until the tenant sends, hotTime how long it does.
	hotDelay = 600 * time.Millisecond
	hotTime  = 6500 * time.Millisecond
	// hotConsumers is the number of its consumers at each instance, hotPause their pause after an answer.
	hotConsumers = 14
	hotPause     = 46 * time.Millisecond
	// rejectTime is how long the store turns the owner away.
	rejectTime = 9 * time.Second
)

// rateWhileStoreRejectsOwner lets a tenant send several times its rate while the store turns away the instance that owns the group.
func rateWhileStoreRejectsOwner(e *environment) (bool, error) {
	owner := e.owner()
	if owner < 0 {
		return false, errNotServed
	}
	e.record.printf("%s owns the group", e.processes[owner].name)
	time.Sleep(calmTime)
	if e.trouble {
		e.gates[owner].set(true)
		e.record.printf("the store turns %s away", e.processes[owner].name)
		time.AfterFunc(rejectTime, func() {
			e.gates[owner].set(false)
			e.record.printf("the store serves %s again", e.processes[owner].name)
		})
	}
	time.Sleep(hotDelay)
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	end := time.Now().Add(hotTime)
	var load sync.WaitGroup
	for i := range hotConsumers * len(e.processes) {
		load.Go(func() {
			e.sendUntil(i, end, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sent[id] = time.Now()
			})
		})
	}
	load.Wait()
	time.Sleep(rejectTime - hotTime)

	type request struct{ sent, arrived time.Time }
	var ran []request
	for _, r := range e.group.snapshot() {
		if at, ok := sent[r.id]; ok && r.ok {
			ran = append(ran, request{at, r.at})
		}
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].sent.Before(ran[j].sent) })
	most := 0
	var from time.Time
	for i, first := range ran {
		n := 0
		for _, r := range ran[i:] {
			if r.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	limit := int((tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack)
	e.record.printf("statements that the tenant sent: %d in %s, %.0f a second", len(sent), hotTime, float64(len(sent))/hotTime.Seconds())
	e.record.printf("statements of the tenant that ran: %d; most in a window of %s: %d, from second %.3f; the rule allows %d",
		len(ran), quotaWindow, most, from.Sub(e.record.started).Seconds(), limit)
	if most == 0 {
		return false, errNotServed
	}
	return most > limit, nil
}

// owner returns the index of the process that owns the group, or -1. Its log says so.
func (e *environment) owner() int {
	last, found := "", -1
	for i, p := range e.processes {
		for _, line := range strings.Split(p.logText(), "\n") {
			if strings.Contains(line, "claimed a group") && strings.Contains(line, "error=<nil>") && line > last {
				last, found = line, i
			}
		}
	}
	return found
}

// sendUntil sends single reads, half of them on the route to the primary, until the end.
func (e *environment) sendUntil(i int, end time.Time, sent func(id string)) {
	database := "orders"
	if i%2 == 0 {
		database = "meters"
	}
	name := fmt.Sprintf("consumer-%d", i)
	for n := 0; time.Now().Before(end); {
		c, err := connect(name, e.processes[i%len(e.processes)].callers(), database, fmt.Sprintf("key-mill%d", hotTenant), e.record)
		if err != nil {
			time.Sleep(hotPause)
			continue
		}
		for time.Now().Before(end) {
			n++
			id := fmt.Sprintf("h-%d-%d", i, n)
			sent(id)
			if c.query(id, "READ plant-7").Broken {
				break
			}
			time.Sleep(hotPause)
		}
		c.close()
	}
}
