package pgauth

import (
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/xdg-go/scram"
)

// Guards against keys accepted although they are wrong or unknown, and against refusals without an SQLSTATE.
func TestExchange(t *testing.T) {
	verifier, err := Verifier("pencil", "salt", 4096)
	if err != nil {
		t.Fatal(err)
	}
	lookup := func(user string) (scram.StoredCredentials, error) {
		if user != "c1.k1" {
			return scram.StoredCredentials{}, errors.New("unknown user")
		}
		return verifier, nil
	}
	cases := []struct{ user, password, code string }{
		{"c1.k1", "pencil", ""},
		{"c1.k1", "crayon", codeInvalidPassword},
		{"c2.k1", "pencil", codeInvalidPassword},
	}
	for _, c := range cases {
		is := is.New(t)
		client, server := net.Pipe()
		accepted := make(chan *Caller, 1)
		go func() {
			caller, err := Accept(server, lookup)
			if err == nil {
				caller.Backend.Send(&pgproto3.ParameterStatus{Name: "celerystep.token", Value: "t"})
				caller.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				err = caller.Backend.Flush()
			}
			if err != nil {
				caller = nil
			}
			_ = server.Close()
			accepted <- caller
		}()
		var token string
		login := Login{User: c.user, Password: c.password, Parameters: map[string]string{"database": "db"}}
		err := new(Clients).Connect(pgproto3.NewFrontend(client, client), login, func(_, v string) { token = v })
		caller := <-accepted
		_ = client.Close()
		if c.code == "" {
			is.NoErr(err)
			is.Equal(token, "t")
			is.Equal(caller.User, "c1.k1")
			is.Equal(caller.Parameters["database"], "db")
			continue
		}
		var refused *ServerError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code, c.code)
		is.True(refused.Fatal)
		is.True(caller == nil)
	}
}
