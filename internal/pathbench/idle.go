package pathbench

import (
	"context"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/ctxtime"
)

const (
	// filesReserved are open files that the fleets themselves need.
	filesReserved = 1500
	// filesPerCaller are the two ends of a caller's connection, which this process holds both.
	filesPerCaller = 2
	// dialers is the number of callers that connect at once.
	dialers = 16
	// settleTime lets buffers of the start-up be given back before memory is read.
	settleTime = 2 * time.Second
)

// Idle is the memory of idle callers. It includes the caller's end of each connection, which is in the same process,
// and not the kernel's socket buffers.
type Idle struct {
	Callers int
	// Wanted is the number that was asked for; Callers is lower when the limit of open files does not allow it.
	Wanted int
	// Heap and Stack are bytes in use per caller; Resident is the growth of the resident set per caller.
	Heap, Stack, Resident float64
	Load                  float64
}

// PerCaller returns bytes of heap and stack per caller.
func (i Idle) PerCaller() float64 { return i.Heap + i.Stack }

// RunIdle connects n callers, each of which runs one statement, to the instance that is not the home, and measures the
// memory that they use while they are idle.
func RunIdle(ctx context.Context, o Options, n int) (result Idle, err error) {
	wanted := n
	if n, err = allowed(n); err != nil {
		return result, err
	}
	e, err := newEnvironment(ctx, &o, 0, 1)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, e.close(ctx)) }()
	ctxtime.Sleep(ctx, startTime)
	// The first callers warm up what all callers share.
	warm, err := e.connect(ctx, dialers)
	if err != nil {
		return result, err
	}
	closeAll(warm)
	before := readMemory(ctx)
	conns, err := e.connect(ctx, n)
	defer closeAll(conns)
	if err != nil {
		return result, err
	}
	after := readMemory(ctx)
	per := func(a, b uint64) float64 { return (float64(a) - float64(b)) / float64(n) }
	result = Idle{
		Callers: n, Wanted: wanted, Load: LoadAverage(), Heap: per(after.heap, before.heap),
		Stack: per(after.stack, before.stack), Resident: per(after.resident, before.resident),
	}
	runtime.KeepAlive(conns)
	return result, nil
}

// allowed returns the number of callers that the limit of open files allows.
func allowed(n int) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "step=read limit of open files")
	}
	n = min(n, (int(limit.Cur)-filesReserved)/filesPerCaller)
	if n <= 0 {
		return 0, errors.Errorf("limit of open files %d is too low", limit.Cur)
	}
	return n, nil
}

// connect opens n callers and lets each run one read.
func (e *environment) connect(ctx context.Context, n int) ([]net.Conn, error) {
	conns := make([]net.Conn, n)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(dialers)
	for i := range conns {
		group.Go(func() error {
			c, err := newCaller(ctx, &e.clients, e.targets[ModeHop], WorkRead, 0)
			if err != nil {
				return err
			}
			conns[i] = c.conn
			return c.run()
		})
	}
	return conns, group.Wait()
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// memory is what the process uses, in bytes.
type memory struct{ heap, stack, resident uint64 }

func readMemory(ctx context.Context) memory {
	ctxtime.Sleep(ctx, settleTime)
	// Pooled buffers survive one collection, so it takes two to free them. Free memory is returned, because the resident
	// set would hold it otherwise.
	runtime.GC()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{heap: m.HeapAlloc, stack: m.StackInuse, resident: resident()}
}

// resident returns the resident set of the process in bytes, or 0 when it is not known.
func resident() uint64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
