package entry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzSession guards against messages of an authenticated caller that crash the instance or keep a session for ever.
func FuzzSession(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) (out []byte) {
		for _, m := range messages {
			out, _ = m.Encode(out)
		}
		return out
	}
	sync, execute := &pgproto3.Sync{}, &pgproto3.Execute{}
	f.Add(encode(&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{}))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: "SET timezone = 'UTC'"}, &pgproto3.Bind{PreparedStatement: "s"},
		&pgproto3.Describe{ObjectType: 'P'}, execute, sync))
	f.Add(encode(&pgproto3.Parse{Query: "begin"}, &pgproto3.Bind{}, execute, &pgproto3.Parse{Query: "SHOW celerystep.token"},
		&pgproto3.Bind{}, execute, &pgproto3.Close{ObjectType: 'S'}, sync, &pgproto3.Query{String: "SAVEPOINT a"}))
	f.Add(encode(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}, execute, sync))
	f.Add(encode(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.FunctionCall{}, sync))
	f.Add(encode(&pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "SELECT 'fail'"}, &pgproto3.Query{String: "SHOW x"}))
	fix := newFixture(f, Settings{MaxMessageBytes: 1 << 16})
	fix.home.discard = true
	startup := encode(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "anyone", "database": "fixtures"},
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", fix.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		go func() {
			_, _ = conn.Write(append(append([]byte(nil), startup...), data...))
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		if _, err := io.Copy(io.Discard, conn); err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Fatalf("session does not end after %q", data)
			}
		}
	})
}
