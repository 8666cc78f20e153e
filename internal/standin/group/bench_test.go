package group_test

import (
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/celerystep/celerystep/internal/standin/group"
)

// benchmarkStatements measures statements a second on one member over eight connections.
func benchmarkStatements(b *testing.B, sql string, slots int) {
	g, err := group.Start(group.Options{
		ID:                "g1",
		Members:           []group.MemberOptions{{ID: "m1"}, {ID: "m2"}, {ID: "m3"}},
		Schema:            []string{schema, rows},
		Slots:             slots,
		StatementLogLimit: -1,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = g.Close() }()
	var worker atomic.Int64
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		c, err := pgx.Connect(b.Context(), "postgres://proxy@"+g.Address("m1")+"/db?sslmode=disable")
		if err != nil {
			b.Error(err)
			return
		}
		defer closeConn(c)
		for id := worker.Add(1); pb.Next(); id++ {
			if _, err := c.Exec(b.Context(), sql, id%1000); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

const rows = "WITH RECURSIVE s(x) AS (VALUES (0) UNION ALL SELECT x + 1 FROM s WHERE x < 1000) " +
	"INSERT INTO t (id, n) SELECT x, 0 FROM s"

func BenchmarkRead(b *testing.B) { benchmarkStatements(b, "SELECT n FROM t WHERE id = $1", 3) }

func BenchmarkWrite(b *testing.B) { benchmarkStatements(b, "UPDATE t SET n = n + 1 WHERE id = $1", 3) }
