package pgauth

import (
	"net"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// SQLSTATE codes of a refused start-up.
const (
	codeInvalidPassword = "28P01"
	codeProtocol        = "08P01"
)

// noTLS is the answer to a request for encryption that the server does not offer.
const noTLS = 'N'

// ErrCancelRequest reports a connection that only asked for the cancellation of another one's statement.
var ErrCancelRequest = errors.New("cancel request")

// Lookup returns the verifier of a user's key, or an error when there is none.
type Lookup func(user string) (scram.StoredCredentials, error)

// Verifier derives what a server stores for a key.
func Verifier(key, salt string, iterations int) (scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClientUnprepped("", key, "")
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "step=scram")
	}
	return client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
}

// Caller is an authenticated connection. The server still owes it ReadyForQuery.
type Caller struct {
	Backend    *pgproto3.Backend
	User       string
	Parameters map[string]string
}

// Accept reads the start-up of a caller's connection and authenticates it. It sends the refusal itself.
func Accept(nc net.Conn, lookup Lookup) (*Caller, error) {
	back := pgproto3.NewBackend(nc, nc)
	start, err := receiveStartup(nc, back)
	if err != nil {
		return nil, err
	}
	c := &Caller{Backend: back, User: start.Parameters["user"], Parameters: start.Parameters}
	if err := authenticate(c, lookup); err != nil {
		Refuse(back, codeInvalidPassword, "authentication failed")
		return nil, errors.Wrapf(err, "step=authenticate user=%s", c.User)
	}
	back.Send(&pgproto3.AuthenticationOk{})
	return c, nil
}

// Refuse sends a fatal error. The caller closes the connection.
func Refuse(back *pgproto3.Backend, code, message string) {
	back.Send(&pgproto3.ErrorResponse{Severity: severityFatal, Code: code, Message: message})
	_ = back.Flush()
}

func receiveStartup(nc net.Conn, back *pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		m, err := back.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "step=startup")
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := nc.Write([]byte{noTLS}); err != nil {
				return nil, errors.Wrap(err, "step=startup")
			}
		default:
			return nil, ErrCancelRequest
		}
	}
}

// authenticate runs the server's side of the SCRAM exchange.
func authenticate(c *Caller, lookup Lookup) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return lookup(c.User) })
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	c.Backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := receiveSASL(c.Backend, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(string(first))
	if err != nil {
		return err
	}
	c.Backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := receiveSASL(c.Backend, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(second))
	if err != nil {
		return err
	}
	c.Backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// receiveSASL flushes and reads the next message of the exchange.
func receiveSASL(back *pgproto3.Backend, authType uint32) ([]byte, error) {
	if err := back.Flush(); err != nil {
		return nil, err
	}
	if err := back.SetAuthType(authType); err != nil {
		return nil, err
	}
	m, err := back.Receive()
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *pgproto3.SASLInitialResponse:
		return m.Data, nil
	case *pgproto3.SASLResponse:
		return m.Data, nil
	}
	Refuse(back, codeProtocol, "expected a SASL message")
	return nil, errors.New("expected a SASL message")
}
