package local

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"

	"github.com/celerystep/celerystep/internal/ctl"
	"github.com/celerystep/celerystep/internal/load"
)

const (
	// demoWrites is the number of writes before and after the loss of the primary.
	demoWrites = 30
	// demoDeadline bounds one write or read with its repetitions.
	demoDeadline = 20 * time.Second
	// demoPause is the time between repetitions.
	demoPause = 20 * time.Millisecond
	// demoSince is the time range of the question to explain.
	demoSince = "5m"
)

// demo is one run of the first workload.
type demo struct {
	system     *System
	out        io.Writer
	credential load.Credential
	tally      tally
}

// tally counts what the workload saw.
type tally struct {
	writes, reads int
	// stale counts reads that did not see their write.
	stale int
	// failed counts attempts that ended with an error and were repeated.
	failed int
	// gap is the longest time from the first attempt of a write to its acknowledgement.
	gap time.Duration
}

// Demo writes through one instance and reads each write through the others, kills a primary, goes on, and asks
// celerystepctl to explain. The error is nil only if every read saw its write.
func (s *System) Demo(ctx context.Context, out io.Writer) error {
	c, err := s.fleet.Credential(s.sizes.customer)
	if err != nil {
		return err
	}
	d := &demo{system: s, out: out, credential: c}
	if err := d.run(ctx); err != nil {
		return err
	}
	if d.tally.stale > 0 {
		return errors.Errorf("%d reads did not see their write", d.tally.stale)
	}
	return nil
}

func (d *demo) run(ctx context.Context) error {
	_, err := d.exec(ctx, 0, "CREATE TABLE demo_orders (id int PRIMARY KEY, megawatts int)")
	if err != nil {
		return errors.Wrap(err, "create table")
	}
	fmt.Fprintf(d.out, "writing %d rows through one instance after the other, reading each through the other two\n", demoWrites)
	if err := d.rows(ctx, 0); err != nil {
		return err
	}
	if err := d.killPrimary(ctx); err != nil {
		return err
	}
	if err := d.rows(ctx, demoWrites); err != nil {
		return err
	}
	if err := d.count(ctx); err != nil {
		return err
	}
	if err := d.explain(ctx); err != nil {
		return err
	}
	d.print()
	return nil
}

// rows writes demoWrites rows from the id on.
func (d *demo) rows(ctx context.Context, from int) error {
	for id := from; id < from+demoWrites; id++ {
		if err := d.row(ctx, id); err != nil {
			return errors.Wrapf(err, "row %d", id)
		}
	}
	return nil
}

// row writes a row through one instance and reads it through the others, each time in a new session.
func (d *demo) row(ctx context.Context, id int) error {
	writer := id % instances
	began := time.Now()
	if err := d.repeat(ctx, func(ctx context.Context) error { return d.write(ctx, writer, id) }); err != nil {
		return errors.Wrap(err, "write")
	}
	d.tally.gap = max(d.tally.gap, time.Since(began))
	d.tally.writes++
	for i := range instances {
		if i == writer {
			continue
		}
		if err := d.repeat(ctx, func(ctx context.Context) error { return d.read(ctx, i, id) }); err != nil {
			return errors.Wrap(err, "read")
		}
	}
	return nil
}

// write inserts the row. A repetition after an unknown outcome finds the row that the first attempt left.
func (d *demo) write(ctx context.Context, i, id int) error {
	_, err := d.exec(ctx, i, "INSERT INTO demo_orders VALUES ($1, $2) ON CONFLICT (id) DO NOTHING", id, id*10)
	return err
}

// read counts a stale read when the row is missing or has another value.
func (d *demo) read(ctx context.Context, i, id int) error {
	conn, err := d.connect(ctx, i)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var n int
	err = conn.QueryRow(ctx, "SELECT megawatts FROM demo_orders WHERE id = $1", id).Scan(&n)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		return err
	}
	d.tally.reads++
	if err != nil || n != id*10 {
		d.tally.stale++
	}
	return nil
}

func (d *demo) connect(ctx context.Context, i int) (*pgx.Conn, error) {
	return pgx.Connect(ctx, d.system.URL(i, d.credential, d.system.Database()))
}

func (d *demo) exec(ctx context.Context, i int, sql string, args ...any) (int64, error) {
	conn, err := d.connect(ctx, i)
	if err != nil {
		return 0, err
	}
	defer conn.Close(ctx)
	tag, err := conn.Exec(ctx, sql, args...)
	return tag.RowsAffected(), err
}

// repeat runs f until it succeeds or the deadline passes.
func (d *demo) repeat(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, demoDeadline)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		d.tally.failed++
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(demoPause):
		}
	}
}

func (d *demo) killPrimary(ctx context.Context) error {
	group := d.system.topology.Groups[0].ID
	m, err := d.system.fleet.Primary(group)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "killing %s, the primary of group %s, and going on\n", m.ID, group)
	return d.system.fleet.KillMember(ctx, group, m.ID)
}

// count compares the number of rows with the number of acknowledged writes.
func (d *demo) count(ctx context.Context) error {
	conn, err := d.connect(ctx, 0)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var rows int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM demo_orders").Scan(&rows); err != nil {
		return errors.Wrap(err, "count rows")
	}
	if rows != d.tally.writes {
		return errors.Errorf("%d rows are left of %d acknowledged writes", rows, d.tally.writes)
	}
	return nil
}

// explain asks as celerystepctl does.
func (d *demo) explain(ctx context.Context) error {
	group := string(d.system.topology.Groups[0].ID)
	fmt.Fprintf(d.out, "\n$ celerystepctl --platform %s explain --group %s --since %s\n", d.system.fleet.Platform().Addr(), group, demoSince)
	code := ctl.Run(ctx, ctl.Environment{
		Out: d.out, Err: d.out, Getenv: os.Getenv, Now: time.Now,
		NewOperationID: ctl.NewOperationID, IssueKey: ctl.IssueKey, Connect: ctl.Connect,
	}, []string{"--platform", d.system.fleet.Platform().Addr(), "--operator", "demo", "explain", "--group", group, "--since", demoSince})
	if code != ctl.ExitOK {
		return errors.Errorf("celerystepctl explain ended with exit code %d", code)
	}
	return nil
}

func (d *demo) print() {
	t := &d.tally
	fmt.Fprintf(d.out, "\nsummary: %d writes acknowledged, %d reads through other instances, %d stale, %d attempts repeated, slowest write %s\n",
		t.writes, t.reads, t.stale, t.failed, t.gap.Round(time.Millisecond))
}
