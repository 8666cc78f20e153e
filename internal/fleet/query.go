package fleet

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/celerystep/celerystep/internal/upstream"
)

// Query implements experiment.GroupControl.
func (f *Fleet) Query(ctx context.Context, id upstream.GroupID, sql string) ([][]string, error) {
	m, err := f.Primary(id)
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(sql, "SELECT ") {
		return f.read(id, m.ID, sql)
	}
	conn, err := pgconn.Connect(ctx, "postgres://celerystep@"+m.Address+"/"+string(id)+"?sslmode=disable")
	if err != nil {
		return nil, errors.Wrapf(err, "step=query member=%s", m.ID)
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, errors.Wrapf(err, "step=query member=%s", m.ID)
	}
	var rows [][]string
	for _, r := range results {
		for _, values := range r.Rows {
			row := make([]string, len(values))
			for i, v := range values {
				row[i] = string(v)
			}
			rows = append(rows, row)
		}
	}
	return rows, f.waitReplicated(ctx, id, m.ID)
}

// read runs a query directly on the simulated member without a connection, because the home may hold all connections of the group.
func (f *Fleet) read(id upstream.GroupID, m upstream.MemberID, sql string) ([][]string, error) {
	rows, err := f.groups[id].Read(m, sql)
	if err != nil {
		return nil, errors.Wrapf(err, "step=query member=%s", m)
	}
	out := make([][]string, len(rows))
	for i, row := range rows {
		for _, v := range row {
			out[i] = append(out[i], fmt.Sprint(v))
		}
	}
	return out, nil
}

// waitReplicated waits until a majority of the group has received the primary's log.
func (f *Fleet) waitReplicated(ctx context.Context, id upstream.GroupID, primary upstream.MemberID) error {
	g := f.groups[id]
	end := g.Status(primary).Received
	members := g.Upstream().Members
	for {
		n := 0
		for _, m := range members {
			if g.Status(m.ID).Received >= end {
				n++
			}
		}
		if n > len(members)/2 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for replication of group %s", id)
		case <-time.After(time.Millisecond):
		}
	}
}
