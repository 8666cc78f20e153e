package netfault

import (
	"bufio"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho returns the address of a server that sends each line back.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func startRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := Start(startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func echo(c net.Conn, line string, wait time.Duration) error {
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return err
	}
	return expect(c, line, wait)
}

func expect(c net.Conn, line string, wait time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	got, err := bufio.NewReader(c).ReadString('\n')
	if err == nil && got != line+"\n" {
		err = errors.Errorf("got %q", got)
	}
	return err
}

const (
	generous = 10 * time.Second
	short    = 30 * time.Millisecond
)

// Guards against a relay that alters traffic without a fault, and against a delay that is not applied.
func TestForwardAndDelay(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	c := dial(t, r)
	is.NoErr(echo(c, "one", generous))
	r.SetDelay(20 * time.Millisecond)
	start := time.Now()
	is.NoErr(echo(c, "two", generous))
	is.True(time.Since(start) >= 40*time.Millisecond) // both directions are delayed
}

// Guards against black-holed connections that still answer, and against new connections being affected.
func TestBlackholeExisting(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	c := dial(t, r)
	is.NoErr(echo(c, "one", generous))
	r.BlackholeExisting()
	is.True(errors.Is(echo(c, "two", short), errTimeout)) // no answer and no closing
	is.NoErr(echo(dial(t, r), "three", generous))
	is.True(errors.Is(echo(c, "four", short), errTimeout)) // silent for good
}

// Guards against a dropped direction that resumes with a gap, and against a held one that loses bytes.
func TestDropAndHold(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	dropped := dial(t, r)
	is.NoErr(echo(dropped, "one", generous))
	r.SetMode(ToClient, Drop)
	is.True(errors.Is(echo(dropped, "two", short), errTimeout))
	r.SetMode(ToClient, Forward)
	is.True(errors.Is(echo(dropped, "three", short), errTimeout))

	held := dial(t, r)
	is.NoErr(echo(held, "one", generous))
	r.SetMode(ToTarget, Hold)
	is.True(errors.Is(echo(held, "two", short), errTimeout))
	r.SetMode(ToTarget, Forward)
	is.NoErr(expect(held, "two", generous))
}

// Guards against faults that look like a clean closing.
func TestResetAndRefuse(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	c := dial(t, r)
	is.NoErr(echo(c, "one", generous))
	is.NoErr(r.SetRefuse(true))
	_, err := net.Dial("tcp", r.Addr())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(echo(c, "two", generous)) // the present connection goes on
	r.Reset()
	is.True(errors.Is(expect(c, "", generous), syscall.ECONNRESET))
	is.NoErr(r.SetRefuse(false))
	is.NoErr(echo(dial(t, r), "three", generous))
}

// errTimeout is the error of a read whose deadline passed.
var errTimeout = os.ErrDeadlineExceeded
