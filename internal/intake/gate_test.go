package intake

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusing callers that have sent START, because the accept loop is ahead of the sessions that read it.
func TestGateAdmitsABurstOfCallers(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	const callers = 100
	g := NewGate(l, newTestBudget(), Limits{Sessions: callers, Starting: callers / 4})
	defer func() { _ = g.Close() }()
	for range callers {
		c, err := net.Dial("tcp4", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "S")
		is.NoErr(err)
	}
	started := make(chan struct{}, callers)
	go func() {
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := c.Read(make([]byte, 1)); err == nil {
					c.(*Conn).Started()
					started <- struct{}{}
				}
			}()
		}
	}()
	for n := range callers {
		select {
		case <-started:
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d callers were admitted", n, callers)
		}
	}
}
