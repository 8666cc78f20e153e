package entry

import (
	"net"
	osexec "os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawCaller is a connection without Go memory of its own, so that a measurement sees only the server's side.
type rawCaller int

func dialRaw(t testing.TB, address string) rawCaller {
	t.Helper()
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: number, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	return rawCaller(fd)
}

// exchange sends a message and reads up to the ReadyForQuery that ends the answer.
func (c rawCaller) exchange(t testing.TB, m pgproto3.FrontendMessage) {
	t.Helper()
	data, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := syscall.Write(int(c), data); err != nil {
		t.Fatal(err)
	}
	var tail [4096]byte
	n := 0
	for n < 6 || string(tail[n-6:n-1]) != "Z\x00\x00\x00\x05" {
		m, err := syscall.Read(int(c), tail[n:])
		if err != nil || m <= 0 {
			t.Fatal("connection ended", err)
		}
		n += m
	}
}

// idleCallerBytes opens callers, lets each run a statement, and returns the memory that one idle caller takes in bytes: heap
// and goroutine stacks of the process, without what was in use before.
func idleCallerBytes(t testing.TB, callers int) float64 {
	t.Helper()
	f := newFixture(t, Settings{})
	f.home.discard = true
	before := memoryInUse()
	open := make([]rawCaller, callers)
	defer func() {
		for _, c := range open {
			_ = syscall.Close(int(c))
		}
	}()
	for i := range open {
		open[i] = dialRaw(t, f.address)
		open[i].exchange(t, &pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters:      map[string]string{"user": "anyone", "database": "fixtures", "application_name": "dashboard"},
		})
		open[i].exchange(t, &pgproto3.Query{String: "SELECT id FROM meter WHERE id = 1"})
	}
	return float64(memoryInUse()-before) / float64(callers)
}

// memoryInUse returns the heap and stack bytes in use after garbage collection, which also shrinks idle stacks.
func memoryInUse() int64 {
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// TestIdleMemory guards against a caller who costs more than 10 KB while idle. The bound is for the program as it is built
// for use: under the race detector the test runs itself again without it.
func TestIdleMemory(t *testing.T) {
	const limit = 10 << 10
	if raceDetector {
		child := osexec.Command("go", "test", "-count=1", "-run", "^TestIdleMemory$", ".")
		if out, err := child.CombinedOutput(); err != nil {
			t.Fatalf("without the race detector: %v\n%s", err, out)
		}
		return
	}
	if got := idleCallerBytes(t, 500); got > limit {
		t.Fatalf("an idle caller takes %.0f bytes", got)
	}
}

// BenchmarkIdleCallers measures the memory of 8,400 idle callers. Run it with -benchtime=1x.
func BenchmarkIdleCallers(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(idleCallerBytes(b, 8400), "B/caller")
	}
}
