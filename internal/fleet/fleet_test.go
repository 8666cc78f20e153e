package fleet_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/fleet"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

func topology() *experiment.Topology {
	domains := []instance.FailureDomain{"a", "b", "c"}
	t := &experiment.Topology{Region: "r", FailureDomains: domains, Instances: 3}
	g := experiment.Group{ID: "g1", Database: "orders", Slots: 3, Connections: 20}
	for i, d := range domains {
		g.Members = append(g.Members, experiment.Member{ID: upstream.MemberID(fmt.Sprintf("m%d", i+1)), FailureDomain: d})
	}
	t.Groups = append(t.Groups, g)
	t.Customers = append(t.Customers, experiment.Customer{Name: "mill", Databases: []string{"orders"},
		Contracts: map[config.Preset]config.Contract{config.PresetOrdinary: {RatePerSecond: 1000, Burst: 200, Share: 1}}})
	return t
}

func open(ctx context.Context, t *testing.T, f *fleet.Fleet, i int) *pgx.Conn {
	c, err := f.Credential("mill")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/orders?sslmode=disable", c.User, c.Password, f.Instances()[i].Address))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestWriteThenReadElsewhere checks read-your-writes across instances while all replicas apply with a lag of two seconds: in the
// session that wrote, in a new session, and in an open session that was given the writer's token. Without the token, an open
// session that has read before may read an older state from a replica, because its own floor is older.
func TestWriteThenReadElsewhere(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	level := hclog.Off
	if os.Getenv("FLEET_LOG") != "" {
		level = hclog.Debug
	}
	f, err := fleet.Start(ctx, topology(), fleet.Options{Logger: hclog.New(&hclog.LoggerOptions{Level: level})})
	is.NoErr(err)
	defer func() { is.NoErr(f.Close(ctx)) }()
	_, err = f.Query(ctx, "g1", "CREATE TABLE orders (id text primary key, n int)")
	is.NoErr(err)
	writer, other := open(ctx, t, f, 0), open(ctx, t, f, 1)
	defer writer.Close(ctx)
	defer other.Close(ctx)
	var n int
	is.NoErr(other.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n))
	for _, m := range []upstream.MemberID{"m1", "m2", "m3"} {
		is.NoErr(f.SetLag(ctx, "g1", m, 2*time.Second))
	}
	for i := range 20 {
		_, err = writer.Exec(ctx, "INSERT INTO orders VALUES ($1, $2)", fmt.Sprint("o", i), i)
		is.NoErr(err)
		_, err = other.Exec(ctx, "SET celerystep.token = '"+writer.PgConn().ParameterStatus("celerystep.token")+"'")
		is.NoErr(err)
		moved := open(ctx, t, f, 1+i%2)
		for _, reader := range []*pgx.Conn{writer, other, moved} {
			is.NoErr(reader.QueryRow(ctx, "SELECT n FROM orders WHERE id = $1", fmt.Sprint("o", i)).Scan(&n))
			is.Equal(n, i)
		}
		is.NoErr(moved.Close(ctx))
	}
}
