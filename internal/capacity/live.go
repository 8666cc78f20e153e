package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/fleet"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// liveCustomer is the only customer of a live fleet. liveRate keeps admission out of the figures.
	liveCustomer = "mill"
	liveRate     = 100_000
	// settleTime passes after a start before a figure is taken.
	settleTime = time.Second
	// closeTimeout bounds the end of a live fleet.
	closeTimeout = 20 * time.Second
	// readStatement touches one row.
	readStatement = "SELECT n FROM t WHERE id = '1'"
)

// liveFleet is a fleet of real daemons and stand-ins in this process.
type liveFleet struct {
	*fleet.Fleet
	credential load.Credential
	groups     int
}

func groupID(i int) upstream.GroupID { return upstream.GroupID(fmt.Sprintf("g%d", i+1)) }

func database(i int) string { return fmt.Sprintf("db%d", i+1) }

// liveTopology returns a fleet in three failure domains with one customer.
func liveTopology(instances, groups int) *experiment.Topology {
	domains := []instance.FailureDomain{"a", "b", "c"}
	t := &experiment.Topology{Region: "r", FailureDomains: domains, Instances: instances}
	customer := experiment.Customer{
		Name: liveCustomer,
		Contracts: map[config.Preset]config.Contract{
			config.PresetOrdinary: {RatePerSecond: liveRate, Burst: liveRate, Share: 1},
		},
	}
	for i := range groups {
		g := experiment.Group{ID: groupID(i), Database: database(i), Slots: 8, Connections: 30}
		for k, d := range domains {
			id := upstream.MemberID(fmt.Sprintf("m%d", k+1))
			g.Members = append(g.Members, experiment.Member{ID: id, FailureDomain: d})
		}
		t.Groups = append(t.Groups, g)
		customer.Databases = append(customer.Databases, g.Database)
	}
	t.Customers = []experiment.Customer{customer}
	return t
}

// withFleet runs f with a fleet that has a table t with one row in each group.
func withFleet(ctx context.Context, m experiment.Mode, instances, groups int, f func(*liveFleet) error) (err error) {
	started, err := fleet.Start(ctx, liveTopology(instances, groups), fleet.Options{NoRelays: true, Mode: m})
	if err != nil {
		return errors.Wrapf(err, "start fleet of %d instances and %d groups", instances, groups)
	}
	defer func() {
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, started.Close(closing))
	}()
	for i := range groups {
		for _, sql := range []string{"CREATE TABLE t (id text primary key, n int)", "INSERT INTO t VALUES ('1', 1)"} {
			if _, err := started.Query(ctx, groupID(i), sql); err != nil {
				return errors.Wrapf(err, "prepare group %d", i)
			}
		}
	}
	credential, err := started.Credential(liveCustomer)
	if err != nil {
		return err
	}
	if !ctxtime.Sleep(ctx, settleTime) {
		return ctx.Err()
	}
	return f(&liveFleet{Fleet: started, credential: credential, groups: groups})
}

// connect opens a caller connection for a group at an address.
func (f *liveFleet) connect(ctx context.Context, address string, group int) (*pgconn.PgConn, error) {
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", f.credential.User, f.credential.Password, address, database(group))
	c, err := pgconn.Connect(ctx, url)
	return c, wrap(err, "connect to "+address)
}

// read runs the read on a connection.
func read(ctx context.Context, c *pgconn.PgConn) error {
	_, err := c.Exec(ctx, readStatement).ReadAll()
	return wrap(err, "read")
}

// usage is what this process used up to a moment.
type usage struct {
	at      time.Time
	cpu     time.Duration
	written uint64
}

func usageNow() (usage, error) {
	n, err := writtenBytes()
	return usage{time.Now(), processorTime(), n}, err
}

// since returns processor microseconds and written bytes for each second since the earlier usage.
func (u usage) since(before usage) (cpu, bytes float64) {
	seconds := u.at.Sub(before.at).Seconds()
	return float64((u.cpu - before.cpu).Microseconds()) / seconds, float64(u.written-before.written) / seconds
}

// watch returns the processor time and the written bytes of this process for each second over d.
func watch(ctx context.Context, d time.Duration) (cpu, bytes float64, err error) {
	before, err := usageNow()
	if err != nil {
		return 0, 0, err
	}
	if !ctxtime.Sleep(ctx, d) {
		return 0, 0, ctx.Err()
	}
	after, err := usageNow()
	cpu, bytes = after.since(before)
	return cpu, bytes, err
}

// writtenBytes returns the bytes that this process wrote, by the kernel's count of write calls; sockets are included.
func writtenBytes() (uint64, error) {
	p, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, errors.Wrap(err, "read written bytes")
	}
	for line := range strings.Lines(string(p)) {
		if v, ok := strings.CutPrefix(line, "wchar: "); ok {
			n, err := strconv.ParseUint(strings.TrimSpace(v), 10, 64)
			return n, wrap(err, "parse written bytes")
		}
	}
	return 0, errors.New("/proc/self/io has no wchar")
}
