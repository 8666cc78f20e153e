package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// dialers is the number of callers that connect at once.
	dialers = 16
	// idleTime is the time over which idle processor time is averaged, and instanceTime that of a whole fleet.
	idleTime     = 3 * time.Second
	instanceTime = 15 * time.Second
	// rateTime is the time of load at each rate.
	rateTime = 3 * time.Second
	// rateCallers is the number of connections that share a rate.
	rateCallers = 24
	// failoverTimeout bounds a measured failover; retryPause is the time between two writes that try for its end.
	failoverTimeout = 20 * time.Second
	retryPause      = 5 * time.Millisecond
)

// memory returns live heap and stacks in bytes.
func memory() float64 {
	heap := heapBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(heap + m.StackInuse)
}

// callerSlopes measures the memory of connected callers that have sent nothing, and after one read each. The callers'
// side holds only the socket.
func callerSlopes(ctx context.Context, s *Suite) error {
	idle := &series{name: "memory, idle caller", unit: "B", per: "caller", note: "plain TCP, heap and stacks, callers' sockets included"}
	used := &series{name: "memory, session after a read", unit: "B", per: "caller", note: "as idle caller"}
	for _, l := range []*series{idle, used} {
		for _, n := range []int{500, 1000, 2000} {
			s.Log.Info("callers", "callers", n, "read", l == used)
			m, err := callerMemory(ctx, n, l == used)
			if err != nil {
				return err
			}
			l.add(n, m)
		}
	}
	return s.keep(idle, used)
}

func callerMemory(ctx context.Context, n int, withRead bool) (float64, error) {
	grown := 0.0
	err := withFleet(ctx, experiment.ModeCelerystep, 1, 1, func(f *liveFleet) error {
		before := memory()
		sockets, err := f.openCallers(ctx, n, withRead)
		defer closeAll(sockets)
		grown = memory() - before
		return err
	})
	return grown, err
}

// openCallers connects n callers to the first instance and returns their sockets, which stay open.
func (f *liveFleet) openCallers(ctx context.Context, n int, withRead bool) ([]net.Conn, error) {
	sockets := make([]net.Conn, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(dialers)
	address := f.Instances()[0].Address
	for i := range sockets {
		g.Go(func() (err error) {
			sockets[i], err = f.openCaller(ctx, address, withRead)
			return err
		})
	}
	return sockets, g.Wait()
}

func (f *liveFleet) openCaller(ctx context.Context, address string, withRead bool) (net.Conn, error) {
	c, err := f.connect(ctx, address, 0)
	if err != nil {
		return nil, err
	}
	if withRead {
		if err := read(ctx, c); err != nil {
			return nil, err
		}
	}
	h, err := c.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take socket")
	}
	return h.Conn, nil
}

func closeAll(sockets []net.Conn) {
	for _, c := range sockets {
		if c != nil {
			_ = c.Close()
		}
	}
}

// groupSlopes measures idle groups at one instance, and the stand-ins of the groups alone to subtract.
func groupSlopes(ctx context.Context, s *Suite) error {
	modes := []struct {
		mode      experiment.Mode
		name      string
		instances int
	}{{experiment.ModeDirect, "stand-in groups alone", 1}, {experiment.ModeCelerystep, "groups with homes", 1}}
	for _, m := range modes {
		cpu := &series{name: m.name + ": processor time", unit: "us/s", per: "group", note: "idle, whole process"}
		bytes := &series{name: m.name + ": written bytes", unit: "B/s", per: "group", note: "idle, whole process"}
		heap := &series{name: m.name + ": memory", unit: "B", per: "group", note: "heap and stacks, whole process"}
		for _, n := range []int{1, 4, 8, 16} {
			s.Log.Info("groups", "mode", m.mode, "groups", n)
			err := withFleet(ctx, m.mode, m.instances, n, func(*liveFleet) error {
				c, b, err := watch(ctx, idleTime)
				cpu.add(n, c)
				bytes.add(n, b)
				heap.add(n, memory())
				return err
			})
			if err != nil {
				return err
			}
		}
		if err := s.keep(cpu, bytes, heap); err != nil {
			return err
		}
	}
	return nil
}

// statementSlopes measures the processor time of reads against their rate: without a proxy, with entry and home in one
// instance, and with six instances, where 5 of 6 statements go over a link.
func statementSlopes(ctx context.Context, s *Suite) error {
	shapes := []struct {
		name      string
		mode      experiment.Mode
		instances int
	}{
		{"direct", experiment.ModeDirect, 1},
		{"entry and home", experiment.ModeCelerystep, 1},
		{"entry, home, link for 5 of 6", experiment.ModeCelerystep, 6},
	}
	for _, shape := range shapes {
		cpu := &series{name: "reads, " + shape.name, unit: "us/s", per: "statement/s", note: "whole process, callers and stand-ins included"}
		err := withFleet(ctx, shape.mode, shape.instances, 1, func(f *liveFleet) error {
			for _, rate := range []int{240, 480, 960, 1920} {
				s.Log.Info("statements", "shape", shape.name, "rate", rate)
				done, used, err := f.loadAt(ctx, shape.mode, rate)
				if err != nil {
					return err
				}
				cpu.add(int(done), used)
			}
			return nil
		})
		if err != nil {
			return err
		}
		if err := s.keep(cpu); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns where callers of the first group connect.
func (f *liveFleet) addresses(m experiment.Mode) ([]string, error) {
	if m == experiment.ModeDirect {
		p, err := f.Primary(groupID(0))
		return []string{p.Address}, err
	}
	var list []string
	for _, e := range f.Instances() {
		list = append(list, e.Address)
	}
	return list, nil
}

// loadAt sends reads at a rate and returns the rate reached and the processor microseconds for each second.
func (f *liveFleet) loadAt(ctx context.Context, m experiment.Mode, rate int) (reached, cpu float64, err error) {
	addresses, err := f.addresses(m)
	if err != nil {
		return 0, 0, err
	}
	var conns []*pgconn.PgConn
	defer func() {
		for _, c := range conns {
			_ = c.Close(context.WithoutCancel(ctx))
		}
	}()
	for i := range rateCallers {
		c, err := f.connect(ctx, addresses[i%len(addresses)], 0)
		if err != nil {
			return 0, 0, err
		}
		conns = append(conns, c)
		if err := read(ctx, c); err != nil {
			return 0, 0, err
		}
	}
	before, err := usageNow()
	if err != nil {
		return 0, 0, err
	}
	g, ctx := errgroup.WithContext(ctx)
	counts := make([]int, len(conns))
	for i, c := range conns {
		g.Go(func() (err error) {
			counts[i], err = paced(ctx, c, time.Second*rateCallers/time.Duration(rate))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, 0, err
	}
	after, err := usageNow()
	cpu, _ = after.since(before)
	for _, n := range counts {
		reached += float64(n) / after.at.Sub(before.at).Seconds()
	}
	return reached, cpu, err
}

// paced sends a read at each interval for rateTime and returns how many were answered.
func paced(ctx context.Context, c *pgconn.PgConn, interval time.Duration) (int, error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(rateTime)
	n := 0
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return n, ctx.Err()
		case <-ticker.C:
		}
		if err := read(ctx, c); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// failoverSlopes kills the primaries of all groups of one home at once and measures until the last group takes a write.
func failoverSlopes(ctx context.Context, s *Suite) error {
	last := &series{name: "failover, last write again", unit: "ms", per: "group at once", note: "all homes at one instance, primaries reset"}
	for _, n := range []int{1, 4, 8, 16, 1, 4, 8, 16} {
		s.Log.Info("failover", "groups", n)
		err := withFleet(ctx, experiment.ModeCelerystep, 1, n, func(f *liveFleet) error {
			took, err := f.failAll(ctx)
			last.add(n, took.Seconds()*1000)
			return err
		})
		if err != nil {
			return err
		}
	}
	return s.keep(last)
}

func (f *liveFleet) failAll(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	address := f.Instances()[0].Address
	primaries := make([]upstream.MemberID, f.groups)
	for i := range primaries {
		p, err := f.Primary(groupID(i))
		if err != nil {
			return 0, err
		}
		primaries[i] = p.ID
	}
	began := time.Now()
	kills, killing := errgroup.WithContext(ctx)
	for i, p := range primaries {
		kills.Go(func() error { return f.KillMember(killing, groupID(i), p) })
	}
	if err := kills.Wait(); err != nil {
		return 0, err
	}
	g, writing := errgroup.WithContext(ctx)
	for i := range f.groups {
		g.Go(func() error { return f.untilWritten(writing, address, i) })
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	took := time.Since(began)
	return took, f.checkReplaced(primaries)
}

// checkReplaced returns an error if a group still has its old primary.
func (f *liveFleet) checkReplaced(old []upstream.MemberID) error {
	for i, p := range old {
		now, err := f.Primary(groupID(i))
		if err != nil {
			return err
		}
		if now.ID == p {
			return errors.Errorf("group %d still has primary %s", i, p)
		}
	}
	return nil
}

// untilWritten repeats a write until it succeeds.
func (f *liveFleet) untilWritten(ctx context.Context, address string, group int) error {
	for try := 0; ; try++ {
		err := f.write(ctx, address, group, try)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "group %d takes no write", group)
		}
		if !ctxtime.Sleep(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

func (f *liveFleet) write(ctx context.Context, address string, group, try int) error {
	c, err := f.connect(ctx, address, group)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES ('after-%d', 1)", try)).ReadAll()
	return err
}

// instanceSlopes measures idle fleets of real daemons: calls to the key-value service, processor time, bytes, memory.
func instanceSlopes(ctx context.Context, s *Suite) error {
	calls := &series{name: "key-value calls", unit: "1/s", per: "instance", note: "watches that begin included"}
	lists := &series{name: "key-value calls, instance list", unit: "1/s", per: "instance"}
	gets := &series{name: "key-value calls, Get", unit: "1/s", per: "instance"}
	watches := &series{name: "key-value waiting watches", unit: "watches", per: "instance"}
	cpu := &series{name: "daemon idle: processor time", unit: "us/s", per: "instance", note: "whole process; the slope is one daemon and its calls"}
	bytes := &series{name: "daemon idle: written bytes", unit: "B/s", per: "instance", note: "as processor time; TLS included"}
	heap := &series{name: "daemon idle: memory", unit: "B", per: "instance", note: "heap and stacks"}
	for _, n := range []int{3, 6, 12} {
		s.Log.Info("instances", "instances", n)
		err := withFleet(ctx, experiment.ModeCelerystep, n, 1, func(f *liveFleet) error {
			before, _ := f.Platform().Calls()
			c, b, err := watch(ctx, instanceTime)
			after, waiting := f.Platform().Calls()
			grown := func(method string) float64 { return float64(after[method]-before[method]) / instanceTime.Seconds() }
			calls.add(n, float64(total(after)-total(before))/instanceTime.Seconds())
			lists.add(n, grown("Instances"))
			gets.add(n, grown("Get"))
			watches.add(n, float64(waiting))
			cpu.add(n, c)
			bytes.add(n, b)
			heap.add(n, memory())
			s.Log.Info("key-value calls since start", "instances", n, "calls", fmt.Sprint(after))
			return err
		})
		if err != nil {
			return err
		}
	}
	return s.keep(calls, lists, gets, watches, cpu, bytes, heap)
}

// total adds the calls of all methods.
func total(calls map[string]uint64) uint64 {
	sum := uint64(0)
	for _, n := range calls {
		sum += n
	}
	return sum
}
