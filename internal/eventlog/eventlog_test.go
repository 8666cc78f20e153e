package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// stuck is an output that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func fixed() time.Time { return time.Unix(1000, 0) }

func TestNeverBlocksAndSaysWhatIsMissing(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	now := fixed()
	l := newLog(out, func() time.Time { return now })
	log := hclog.New(&hclog.LoggerOptions{Output: l.Writer(), Level: hclog.Info})
	for range 10_000 {
		log.Info("routine")
	}
	for range 100 {
		log.Warn("failure", "request", "x")
	}
	now = now.Add(2 * time.Second)
	log.Info("later")
	close(out.release)
	l.Close()
	text := out.buf.String()
	is.Equal(strings.Count(text, "failure"), 100) // routine lines do not displace failures
	is.Equal(strings.Count(text, ": routine")+strings.Count(text, "  routine"), int(RoutineLimit.Burst))
	is.True(strings.Contains(text, "class=routine lines=9400"))
}

func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out)
	log := hclog.New(&hclog.LoggerOptions{Output: l.Writer(), Level: hclog.Info})
	log.Info("last words")
	l.Close()
	l.Close()
	is.True(strings.Contains(out.String(), "last words"))
}

// Guards against a line that quotes a huge value: thousands of them may wait for the output.
func TestLongLinesAreCut(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out)
	_, err := l.Writer().Write([]byte("2026 [WARN]  " + strings.Repeat("9", 1<<20) + "\n"))
	is.NoErr(err)
	l.Close()
	is.True(out.Len() < 2*maxLineBytes)
	is.True(strings.HasSuffix(out.String(), "bytes left out)\n"))
}
