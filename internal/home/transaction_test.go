package home

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against statements of other transactions or customers on a transaction's connection (G3, G4), against more
// connections than the group allows, and against starvation under load.
func TestTransactionsOwnTheirConnections(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		runConcurrently(60, func(i int) {
			session := sessionName(i)
			for n := range 5 {
				steps := []string{"BEGIN", "INSERT " + session, "INSERT " + session, "COMMIT"}
				if (i+n)%3 == 0 {
					steps = []string{"SELECT " + session}
				}
				for _, text := range steps {
					r := query(session, text)
					r.Customer = fmt.Sprintf("c%d", i%2+1)
					r.Timeout = 20 * time.Second
					res, _ := run(m, r)
					if res.Outcome != request.OutcomeDone {
						w.t.Errorf("%s %s: %+v", session, text, res)
					}
				}
			}
		})
		w.is.True(w.g.maxOpen <= 17)
		owner := make(map[int]string)
		for _, s := range w.g.executed {
			switch {
			case s.text == "BEGIN":
				w.is.Equal(owner[s.conn], "")
				owner[s.conn] = "?"
			case s.text == "COMMIT":
				delete(owner, s.conn)
			case strings.HasPrefix(s.text, "INSERT"):
				if owner[s.conn] == "?" {
					owner[s.conn] = s.text
				}
				w.is.Equal(owner[s.conn], s.text)
				w.is.Equal(s.member, upstream.MemberID("a"))
			}
			var i int
			if _, err := fmt.Sscanf(s.text, "INSERT s%d", &i); err == nil {
				w.is.Equal(s.tag, fmt.Sprintf("c%d", i%2+1))
			}
		}
	})
}

// Guards against a transaction that keeps its connection while its customer exceeds its rate.
func TestTransactionWaitsAtMostOneSecondForAToken(t *testing.T) {
	simulate(t, func(c *config.Cluster) {
		c.Customers[0].Contracts = map[config.Preset]config.Contract{config.PresetOrdinary: {RatePerSecond: 0.5, Burst: 2, Share: 1}}
	}, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		time.Sleep(10 * time.Second)
		run(m, query("s", "BEGIN"))
		run(m, query("s", "INSERT"))
		start := time.Now()
		res, _ := run(m, query("s", "INSERT"))
		w.is.Equal(res.Outcome, request.OutcomeNotRun)
		w.is.Equal(res.Code, retry.CodeRateLimited)
		w.is.Equal(res.TxStatus, byte('E'))
		w.is.Equal(time.Since(start), tokenWaitTimeout)
		time.Sleep(10 * time.Millisecond)
		w.is.Equal(w.g.count("ROLLBACK"), 1)
		res, _ = run(m, query("s", "COMMIT"))
		w.is.Equal(res.TxStatus, byte('I'))
		w.is.Equal(w.g.count("COMMIT"), 0)
	})
}

// Guards against a request that is sent on a connection which stopped responding while it was idle.
func TestSilentIdleConnectionIsReplaced(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.g.update(func() {
			for _, member := range w.g.members {
				for c := range member.conns {
					c.silent = true
				}
			}
		})
		time.Sleep(7 * time.Second)
		w.is.Equal(w.audit.count(EventSilentConnection), 10)
		start := time.Now()
		res, _ := run(m, query("s", "INSERT"))
		w.is.Equal(res.Outcome, request.OutcomeDone)
		w.is.True(time.Since(start) < 100*time.Millisecond)
	})
}

// Guards against a canceled request that keeps running, and against a not-run outcome for a statement that was sent.
func TestCancel(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		ctx := context.Background()
		running := make(chan request.Result, 4)
		for i := range 4 { // three run and one is queued
			go func() { res, _ := run(m, query(sessionName(i), "SLEEP 3s")); running <- res }()
			time.Sleep(time.Millisecond)
		}
		start := time.Now()
		m.Cancel(ctx, "g1", "s3")
		res := <-running
		w.is.Equal(res.Outcome, request.OutcomeNotRun)
		w.is.Equal(res.Code, retry.CodeCanceled)
		m.Cancel(ctx, "g1", "s0")
		res = <-running
		w.is.Equal(res.Outcome, request.OutcomeUnknown)
		w.is.Equal(res.Code, retry.CodeCanceled)
		w.is.Equal(time.Since(start), cancelGracePeriod)
		m.End(ctx, "g1", "s1") // as after the loss of the entry instance
		<-running
		w.is.Equal(time.Since(start), 2*cancelGracePeriod)
		res = <-running
		w.is.Equal(res.Outcome, request.OutcomeDone)
		m.Cancel(ctx, "g1", "s2") // too late
		res, _ = run(m, query("s2", "INSERT"))
		w.is.Equal(res.Outcome, request.OutcomeDone)
	})
}

// Guards against a transaction that outlives its session, and against running its later statements outside of it.
func TestEndRollsBack(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		run(m, query("s", "BEGIN"))
		run(m, query("s", "INSERT"))
		m.End(context.Background(), "g1", "s")
		time.Sleep(10 * time.Millisecond)
		w.is.Equal(w.g.count("ROLLBACK"), 1)
		r := query("s", "INSERT late")
		r.InTransaction = true
		res, _ := run(m, r)
		w.is.Equal(res.Code, retry.CodeTransactionLost)
		w.is.Equal(w.g.count("INSERT late"), 0)
		w.is.Equal(len(m.find("g1").sessions), 1)
		m.End(context.Background(), "g1", "s")
		w.is.Equal(len(m.find("g1").sessions), 0)
	})
}

// Guards against new work on a member whose failure domain is out or that is leaving (G8, G12), and against statements
// refused while the primary moves.
func TestDomainOutGetsNoNewWork(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.configure(func(c *config.Cluster) {
			c.FailureDomains[0].Out = true
			c.Groups[0].Members[1].State = upstream.MemberLeaving
		})
		start := time.Now()
		runConcurrently(60, func(i int) {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			text := []string{"INSERT", "SELECT 1"}[i%2]
			res, _ := run(m, query(sessionName(i), text))
			if res.Outcome != request.OutcomeDone {
				w.t.Errorf("%s after %v: %+v", text, time.Since(start), res)
			}
			if time.Since(start) > 4*time.Second && res.Member != "c" {
				w.t.Errorf("%s after %v on %s", text, time.Since(start), res.Member)
			}
		})
		res, _ := run(m, query("last", "SELECT 1"))
		w.is.Equal(res.Member, upstream.MemberID("c"))
		w.is.Equal(m.Owned()[0].Primary, upstream.MemberID("c"))
	})
}

// Guards against lost or reordered bytes in a large response to a slow caller (G9).
func TestLargeAnswerToASlowCaller(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.g.update(func() {
			for _, member := range w.g.members {
				member.rows = 500
			}
		})
		a := recorder{delay: 10 * time.Millisecond}
		res := m.Run(context.Background(), query("s", "SELECT 1"), &a)
		w.is.Equal(res.Outcome, request.OutcomeDone)
		w.is.Equal(len(a.messageTypes()), 501)
		w.is.Equal(a.messageTypes()[500], byte('C'))
	})
}

// Guards against a switchover that refuses or loses statements, and against a caller that occupies a connection
// indefinitely with an idle transaction.
func TestSwitchoverUnderLoad(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		run(m, query("idle", "BEGIN"))
		run(m, query("idle", "INSERT"))
		_, err := m.Switchover(context.Background(), "g1", "b", "op")
		w.is.True(err != nil) // the idle transaction outlasts the write hold
		time.Sleep(idleTransactionTimeout)
		w.is.Equal(w.g.count("ROLLBACK"), 1)
		runConcurrently(10, func(i int) {
			for n := range 50 {
				if i == 0 && n == 10 {
					o, err := m.Switchover(context.Background(), "g1", "b", "op")
					w.is.NoErr(err)
					w.is.Equal(o.Primary, upstream.MemberID("b"))
				}
				for _, text := range [][]string{{"INSERT"}, {"BEGIN", "INSERT", "COMMIT"}, {"SELECT 1"}}[i%3] {
					if res, _ := run(m, query(sessionName(i), text)); res.Outcome != request.OutcomeDone {
						w.t.Errorf("%s: %+v", text, res)
					}
					time.Sleep(time.Millisecond)
				}
			}
		})
		_, err = m.Switchover(context.Background(), "g1", "b", "op")
		w.is.True(err != nil) // b is already the primary
		s := m.Status()[0]
		w.is.Equal(s.Phase, "steady")
		w.is.Equal(len(s.Members), 3)
	})
}

// Guards against a preset change that affects waiting work late or refills buckets.
func TestPresetChangeAppliesAtOnce(t *testing.T) {
	rate := func(perSecond float64) func(*config.Cluster) {
		return func(c *config.Cluster) {
			c.Customers[0].Contracts = map[config.Preset]config.Contract{config.PresetOrdinary: {RatePerSecond: perSecond, Burst: 5, Share: 1}}
		}
	}
	simulate(t, rate(0.001), func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		start := time.Now()
		w.is.True(m.Admit(context.Background(), "g1", []AdmitItem{{"c1", 5}}).Granted[0].Tokens == 0)
		go func() {
			time.Sleep(time.Second)
			w.configure(rate(10))
			m.ConfigChanged()
		}()
		runConcurrently(5, func(i int) {
			res, _ := run(m, query(sessionName(i), "INSERT"))
			w.is.Equal(res.Outcome, request.OutcomeDone)
		})
		took := time.Since(start)
		w.is.True(took > 1400*time.Millisecond && took < 1700*time.Millisecond) // five tokens at 10 a second
	})
}

// Guards against a deadlock in which a COMMIT waits for a slot while statements that wait for the transaction's locks
// hold all slots. The member then ends the connection as idle in transaction, and the outcome of the COMMIT is unknown.
func TestLockHolderIsNotKeptWaitingForASlot(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		run(m, query("s", "BEGIN"))
		run(m, query("s", "INSERT"))
		blocked := make(chan request.Result, 3)
		for i := range 3 {
			go func() { res, _ := run(m, query(sessionName(i), "SLEEP 3s")); blocked <- res }()
		}
		time.Sleep(time.Millisecond)
		for _, text := range []string{"INSERT", "COMMIT"} {
			start := time.Now()
			res, _ := run(m, query("s", text))
			w.is.Equal(res.Outcome, request.OutcomeDone)
			w.is.True(time.Since(start) < 40*time.Millisecond)
		}
		for range 3 {
			w.is.Equal((<-blocked).Outcome, request.OutcomeDone)
		}
	})
}
