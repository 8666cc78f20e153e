package local

import (
	"encoding/binary"
	"testing"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/load"
)

// oversized is the stated length of a message above the limit of 16 MB.
const oversized = 17 << 20

// Guards against a refusal that tells the caller nothing: each has its SQLSTATE and a trace id for explain.
func TestRefusals(t *testing.T) {
	w := start(t)
	withdrawn := w.credential(w.Limited())
	if err := w.Fleet().WithdrawKey(w.ctx, w.Limited(), "k1"); err != nil {
		t.Fatal(err)
	}
	w.operate("wait", "0")
	if err := w.Fleet().IssueKey(w.ctx, w.Limited()); err != nil {
		t.Fatal(err)
	}
	w.operate("wait", "0")
	last := w.sizes.databases[len(w.sizes.databases)-1]
	wrong := load.Credential{User: w.key.User, Password: "csk_wrong"}
	for name, c := range map[string]struct {
		code  string
		cause func() error
	}{
		"wrong key":                   {"28P01", func() error { return w.refused(wrong, w.Database()) }},
		"withdrawn key":               {"28P01", func() error { return w.refused(withdrawn, w.Database()) }},
		"another customer's database": {"28000", func() error { return w.refused(w.credential(w.Limited()), last) }},
		"unknown database":            {"3D000", func() error { return w.refused(w.key, "nowhere") }},
		"malformed start-up packet":   {"08P01", w.malformed},
		"oversized message":           {"54000", w.oversized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var refusal *pgconn.PgError
			is.True(errors.As(c.cause(), &refusal))
			is.Equal(refusal.Code, c.code)
			w.demand(name, refusal.Detail, "trace=", "step=", "peer=")
		})
	}
}

func (w *world) refused(c load.Credential, database string) error {
	conn, err := pgx.Connect(w.ctx, w.URL(1, c, database))
	if err == nil {
		_ = conn.Close(w.ctx)
	}
	return err
}

// malformed sends a start-up packet whose parameters do not end.
func (w *world) malformed() error {
	conn := w.dialTLS(0)
	defer conn.Close()
	body := binary.BigEndian.AppendUint32(nil, pgproto3.ProtocolVersion30)
	body = append(body, "user\x00x"...)
	packet := append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
	if _, err := conn.Write(packet); err != nil {
		return err
	}
	return receiveError(pgproto3.NewFrontend(conn, conn))
}

// oversized announces a query above the limit on an authenticated connection.
func (w *world) oversized() error {
	conn, err := pgx.Connect(w.ctx, w.URL(0, w.key, w.Database()))
	if err != nil {
		return err
	}
	raw, err := conn.PgConn().Hijack()
	if err != nil {
		return err
	}
	defer raw.Conn.Close()
	if _, err := raw.Conn.Write(binary.BigEndian.AppendUint32([]byte{'Q'}, oversized)); err != nil {
		return err
	}
	return receiveError(pgproto3.NewFrontend(raw.Conn, raw.Conn))
}

func receiveError(f *pgproto3.Frontend) error {
	m, err := f.Receive()
	if err != nil {
		return err
	}
	refusal, ok := m.(*pgproto3.ErrorResponse)
	if !ok {
		return errors.Errorf("received %T", m)
	}
	return pgconn.ErrorResponseToPgError(refusal)
}
