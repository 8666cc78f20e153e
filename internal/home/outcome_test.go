package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against duplicated writes, false not-run outcomes, and reads that fail although another member could serve
// them. Injects every fault at every step of reads, writes and commits.
func TestFaultAtEachStep(t *testing.T) {
	cases := []struct {
		name       string
		text       string
		fault      fakeFault
		idempotent bool
		outcome    request.Outcome
		code       string
		runs       int
	}{
		{"read, before it runs", "SELECT 1", faultBefore, false, request.OutcomeDone, "", 1},
		{"read, after it ran", "SELECT 1", faultAfter, false, request.OutcomeDone, "", 2},
		{"read, silent connection", "SELECT 1", faultSilent, false, request.OutcomeDone, "", 2},
		{"read, answer begun", "SELECT 1", faultMidway, false, request.OutcomeUnknown, retry.CodeReadFailed, 1},
		{"write, before it runs", "INSERT", faultBefore, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 0},
		{"write, after it ran", "INSERT", faultAfter, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 1},
		{"write, silent connection", "INSERT", faultSilent, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 1},
		{"write, answer begun", "INSERT", faultMidway, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 1},
		{"idempotent write, after it ran", "INSERT", faultAfter, true, request.OutcomeDone, "", 2},
		{"idempotent write, answer begun", "INSERT", faultMidway, true, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 1},
		{"commit, before it runs", "COMMIT", faultBefore, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 0},
		{"commit, after it ran", "COMMIT", faultAfter, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 1},
		{"commit, silent connection", "COMMIT", faultSilent, false, request.OutcomeUnknown, retry.CodeOutcomeUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, nil, func(w *simulatedCluster) {
				m := w.home("h1")
				defer m.Close()
				if c.text == "COMMIT" {
					run(m, query("s", "BEGIN"))
					run(m, query("s", "INSERT"))
				}
				w.g.update(func() {
					done := false
					for _, member := range w.g.members {
						member.fault = func(text string) fakeFault {
							if text != c.text || done {
								return faultNone
							}
							done = true
							return c.fault
						}
					}
				})
				r := query("s", c.text)
				r.Idempotent = c.idempotent
				r.InTransaction = c.text == "COMMIT"
				res, answer := run(m, r)
				w.is.Equal(res.Outcome, c.outcome)
				w.is.Equal(res.Code, c.code)
				w.is.Equal(w.g.count(c.text), c.runs)
				if c.outcome == request.OutcomeUnknown && c.fault != faultMidway {
					w.is.Equal(answer, "")
				}
				if c.text == "COMMIT" {
					w.is.Equal(res.TxStatus, byte('E')) // the session must end its lost transaction
					again, _ := run(m, query("s", "INSERT"))
					w.is.Equal(again.Code, retry.CodeTransactionLost)
					again, answer = run(m, query("s", "ROLLBACK"))
					w.is.Equal(again.TxStatus, byte('I'))
					w.is.Equal(answer, "C")
				}
				ok, _ := run(m, query("s", "INSERT"))
				w.is.Equal(ok.Outcome, request.OutcomeDone) // the home still works
			})
		})
	}
}

// Guards against a late or false not-run outcome while no member can be reached.
func TestWritesWaitForAPrimary(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.g.update(func() {
			for _, member := range w.g.members {
				member.crash()
			}
		})
		time.Sleep(time.Second)
		r := query("s", "INSERT")
		r.Timeout = time.Second
		start := time.Now()
		res, _ := run(m, r)
		w.is.Equal(res.Outcome, request.OutcomeNotRun)
		w.is.True(time.Since(start) < 1100*time.Millisecond)
		w.is.Equal(w.g.count("INSERT"), 0)
	})
}

// Guards against acknowledging a commit that only a partitioned primary has (G2).
func TestCutOffPrimaryAcknowledgesNothing(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.g.update(func() { // replication stops, but the home still reaches all members
			for _, id := range []upstream.MemberID{"b", "c"} {
				w.g.members[id].follows = "none"
				w.g.members[id].primarySeenAt = time.Now().Add(time.Hour)
			}
		})
		r := query("s", "INSERT")
		r.Timeout = time.Second
		res, answer := run(m, r)
		w.is.Equal(w.g.count("INSERT"), 1)
		w.is.Equal(res.Outcome, request.OutcomeUnknown)
		w.is.Equal(res.Code, retry.CodeOutcomeUnknown)
		w.is.Equal(res.Step, "commit")
		w.is.Equal(answer, "")
		go run(m, query("s", "INSERT"))
		time.Sleep(commitStallTimeout + 10*time.Millisecond)
		held := query("held", "INSERT held") // must not be sent, because its outcome would be unknown
		held.Timeout = 100 * time.Millisecond
		res, _ = run(m, held)
		w.is.Equal(res.Outcome, request.OutcomeNotRun)
		w.is.Equal(w.g.count("INSERT held"), 0)
		res, _ = run(m, query("r", "SELECT 1"))
		w.is.Equal(res.Outcome, request.OutcomeDone)
	})
}

// Guards against a commit acknowledged by the old primary after a new one was promoted, and against a long write gap.
func TestFailoverKeepsAcknowledgedWrites(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		res, _ := run(m, query("s", "INSERT"))
		w.is.Equal(res.Outcome, request.OutcomeDone)
		w.g.update(func() { w.g.members["a"].partitioned = true }) // does not respond, and still considers itself the primary
		start := time.Now()
		outcomes := make([]request.Result, 20)
		runConcurrently(len(outcomes), func(i int) {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			outcomes[i], _ = run(m, query(sessionName(i), "INSERT"))
		})
		w.is.True(time.Since(start) < 5*time.Second)
		done := 0
		for _, o := range outcomes {
			w.is.True(o.Outcome != request.OutcomeNotRun)
			if o.Outcome == request.OutcomeDone {
				w.is.True(o.Member != "a")
				done++
			}
		}
		w.is.True(done >= 10)
		w.is.True(m.Owned()[0].Primary != "a")
		read, _ := run(m, query("new", "SELECT 1"))
		w.is.True(read.Floor.Term > res.Floor.Term)
	})
}

// Guards against a stale read by a client that reconnects after its write without a session token (G1).
func TestNewSessionReadsItsOwnWrites(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		w.g.update(func() { w.g.members["b"].lag = 300 * time.Millisecond; w.g.members["c"].lag = 300 * time.Millisecond })
		m := w.home("h1")
		defer m.Close()
		for i := range 20 {
			write, _ := run(m, query("w", "INSERT"))
			r := query(sessionName(i), "SELECT 1")
			read, _ := run(m, r)
			w.is.Equal(read.Outcome, request.OutcomeDone)
			w.is.True(read.HasFloor && !read.Floor.Less(write.Floor))
			w.is.True(!read.Replica) // the replicas lag
			w.is.Equal(write.Floor.Term, read.Floor.Term)
		}
		time.Sleep(time.Second)
		read, _ := run(m, query("later", "SELECT 1"))
		w.is.True(read.Replica)
	})
}

// Guards against running requests whose customer, key or route the configuration in force does not allow (G4, G6).
func TestInvalidRequestsAreRefused(t *testing.T) {
	cases := map[string]struct {
		change func(*request.Request)
		code   string
	}{
		"unknown customer":  {func(r *request.Request) { r.Customer = "x" }, retry.CodeAuthentication},
		"unknown key":       {func(r *request.Request) { r.Key = "x" }, retry.CodeAuthentication},
		"no key":            {func(r *request.Request) { r.Key = "" }, retry.CodeAuthentication},
		"route elsewhere":   {func(r *request.Request) { r.Route = "db-g2" }, retry.CodeNotAllowed},
		"customer of route": {func(r *request.Request) { r.Customer = "c3" }, retry.CodeNotAllowed},
		"newer entry":       {func(r *request.Request) { r.Key = "x"; r.ConfigVersion = 99 }, retry.CodeUnavailable},
		"malformed":         {func(r *request.Request) { r.Messages = []byte{'Q'} }, retry.CodeProtocol},
	}
	simulate(t, func(c *config.Cluster) {
		other := c.Customers[0]
		other.Name = "c3"
		c.Customers = append(c.Customers, other)
	}, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		for name, c := range cases {
			r := query("s", "INSERT")
			c.change(r)
			res, _ := run(m, r)
			w.is.Equal(res.Outcome, request.OutcomeNotRun) // name
			w.is.Equal(res.Code, c.code)                   // name
			_ = name
		}
		w.is.Equal(w.g.count("INSERT"), 0)
		w.configure(func(c *config.Cluster) { c.Customers[0].Keys[0].Withdrawn = true })
		res, _ := run(m, query("s", "INSERT"))
		w.is.Equal(res.Code, retry.CodeAuthentication)
	})
}

// Guards against a false not-run outcome when a retry is refused although the first attempt was sent (G10).
func TestRefusedRetryIsNotCalledNotRun(t *testing.T) {
	for text, code := range map[string]string{"SELECT 1": retry.CodeReadFailed, "INSERT": retry.CodeOutcomeUnknown} {
		simulate(t, nil, func(w *simulatedCluster) {
			m := w.home("h1")
			defer m.Close()
			w.g.update(func() {
				for _, member := range w.g.members {
					member.fault = func(sent string) fakeFault {
						if sent != text {
							return faultNone
						}
						w.configure(func(c *config.Cluster) { c.Customers[0].Keys[0].Withdrawn = true })
						return faultAfter
					}
				}
			})
			r := query("s", text)
			r.Idempotent = true
			res, _ := run(m, r)
			w.is.Equal(w.g.count(text), 1)
			w.is.Equal(res.Outcome, request.OutcomeUnknown)
			w.is.Equal(res.Code, code)
		})
	}
}

// Guards against a refused request that reports its session's open transaction as ended. The entry instance would then
// not send End, and the transaction would keep its locks.
func TestRefusedRequestLeavesItsTransactionOpen(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		run(m, query("s", "BEGIN"))
		run(m, query("s", "INSERT"))
		w.configure(func(c *config.Cluster) { c.Customers[0].Keys[0].Withdrawn = true })
		m.ConfigChanged()
		r := query("s", "INSERT")
		r.InTransaction = true
		res, _ := run(m, r)
		w.is.Equal(res.Code, retry.CodeAuthentication)
		w.is.Equal(res.TxStatus, byte('T'))
		m.End(context.Background(), "g1", "s")
		synctest.Wait()
		w.is.Equal(w.g.count("ROLLBACK"), 1)
	})
}
