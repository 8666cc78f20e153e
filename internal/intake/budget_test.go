package intake

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

const testLimit = 1 << 20

func newTestBudget() *Budget {
	return NewBudget(testLimit, hclog.NewNullLogger(), prometheus.NewRegistry())
}

// client is an account whose eviction closes a channel.
type client struct {
	*Account
	evicted chan struct{}
}

func open(b *Budget, held int64, p phase) client {
	c := client{evicted: make(chan struct{})}
	c.Account = b.OpenConn("test", func() { close(c.evicted) })
	c.Force(held)
	c.phase.Store(p)
	return c
}

func (c client) isEvicted() bool {
	select {
	case <-c.evicted:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

func (b *Budget) ticks(n int) {
	for range n {
		b.tick()
	}
}

// Guards against closing an ordinary or a running connection, or the heaviest, while one without progress can be closed.
func TestEvictsConnectionsWithoutProgressFirst(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	ordinary := open(b, ordinaryBytes, phaseReading)
	running := open(b, testLimit/2, phaseRunning)
	heavy := open(b, testLimit/4, phaseReading)
	stalled := open(b, testLimit/8, phaseReading)
	for range stalledTicks + 1 {
		heavy.moved.Add(minMessageRate)
		b.tick()
	}
	requester := open(b, 0, phaseReading)
	done := make(chan error, 1)
	go func() { done <- requester.Charge(testLimit / 8) }()
	<-stalled.evicted
	stalled.Close()
	is.NoErr(<-done)
	go func() { done <- requester.Charge(testLimit / 8) }()
	<-heavy.evicted // after a wait, as nothing is stalled
	heavy.Close()
	is.NoErr(<-done)
	is.True(!ordinary.isEvicted())
	is.True(!running.isEvicted())
}

// Guards against timeouts for sessions that are idle, and for clients that are slow but above the lowest rate.
func TestTimeoutsSpareIdleAndSlowClients(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	idle := open(b, 0, phaseIdle)
	slow := open(b, 0, phaseReading)
	dripping := open(b, 0, phaseReading)
	reader := open(b, 0, phaseWriting)
	deaf := open(b, 0, phaseWriting)
	b.tick()
	for range 2 * int(messageGrace/watchInterval) {
		slow.moved.Add(minMessageRate)
		dripping.moved.Add(1)
		reader.moved.Add(1)
		b.tick()
	}
	is.True(dripping.isEvicted())
	is.True(deaf.isEvicted())
	for _, c := range []client{idle, slow, reader} {
		is.True(!c.isEvicted())
	}
}

// Guards against sums that drift when accounts end in any state.
func TestAccountsReturnWhatTheyHold(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	a := open(b, 10, phaseWriting)
	is.NoErr(a.Charge(100))
	is.NoErr(a.Keep(1000))
	b.ticks(3) // charges the blocked write
	is.Equal(b.Used(), int64(1110+blockedWriteBytes))
	a.Reset()
	a.phase.Store(phaseIdle)
	b.tick()
	is.Equal(b.Used(), int64(1010))
	a.Close()
	a.Close()
	is.True(errors.Is(a.Charge(1), ErrEvicted)) // or the byte would never be returned
	is.Equal(b.Used(), int64(0))
	is.True(errors.Is(open(b, 0, phaseReading).Charge(testLimit+1), ErrExhausted))
	var none *Account
	is.NoErr(none.Charge(1)) // no limits
}

// Guards against closing others for a message that can never fit.
func TestTooLargeChargesCloseNobody(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	stalled := open(b, testLimit/8, phaseReading)
	b.ticks(stalledTicks + 1)
	is.True(errors.Is(open(b, 0, phaseReading).Charge(testLimit+1), ErrExhausted))
	is.True(!stalled.isEvicted())
}

// Guards against memory pressure from a configuration that many instances take slowly at once, and against closing their calls for it.
func TestSlowSharedResponsesAreNotCharged(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	var calls []*call
	for range 2 * testLimit / blockedWriteBytes {
		c := &call{handler: &Calls{budget: b}}
		c.openAccount().phase.Store(phaseWriting)
		calls = append(calls, c)
	}
	b.ticks(stalledTicks + 2)
	is.Equal(b.Used(), int64(0))
	for _, c := range calls {
		is.True(!c.account.evicted)
		c.account.Close()
	}
}

// Guards against a response that waits in memory while the budget is exceeded.
func TestResponsesCloseTheHeaviestAtOnce(t *testing.T) {
	is := is.New(t)
	b := newTestBudget()
	light := open(b, testLimit/8, phaseWriting)
	heavy := open(b, testLimit/8*5, phaseWriting)
	is.NoErr(light.ChargeResponse(testLimit / 8 * 3))
	is.True(heavy.isEvicted())
	is.True(errors.Is(light.ChargeResponse(testLimit), ErrEvicted))
}

// Guards against sessions without bound, and against refusing new callers because of others that never start.
func TestGateBoundsConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	b := newTestBudget()
	g := NewGate(l, b, Limits{Sessions: 3, Starting: 2})
	defer func() { _ = g.Close() }()
	accepted := make(chan *Conn, 8)
	go func() {
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*Conn)
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		return c
	}
	dial()
	(<-accepted).Started()
	waiting := dial()
	<-accepted
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) // refused
	b.reporter.mu.Lock()
	is.True(b.reporter.last[CauseSessions] != nil) // logged
	b.reporter.mu.Unlock()
	time.Sleep(minStartingAge)
	dial()
	c := <-accepted // in place of the oldest connection that has not started
	_, err = waiting.Read(make([]byte, 1))
	is.True(err != nil)
	is.NoErr(c.Close())
	is.NoErr(c.Close())
}

// Guards against contradictory settings, and against defaults that the smallest machine cannot hold.
func TestDefaultsFitTheSmallestMachine(t *testing.T) {
	is := is.New(t)
	l := DefaultLimits(136<<20, 3010)
	is.True(l.Sessions >= 700) // ordinary sessions and a crowd
	is.NoErr(l.CheckBytes(136 << 20))
	is.NoErr(l.CheckSessions(136<<20, 3010))
	is.NoErr(l.CheckStarting())
	l.Bytes = 136 << 20
	is.True(l.CheckBytes(136<<20) != nil)
	l.Sessions = 3010
	is.True(l.CheckSessions(0, 3010) != nil)
	l.Sessions = 5000
	is.NoErr(l.CheckSessions(0, 8192))
	is.True(l.CheckSessions(136<<20, 8192) != nil) // 205 MB
	l.Starting = 5001
	is.True(l.CheckStarting() != nil)
	unknown := DefaultLimits(0, 0)
	is.NoErr(unknown.CheckSessions(0, 0))
}
