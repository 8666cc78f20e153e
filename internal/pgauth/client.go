// Package pgauth carries out the start-up of PostgreSQL connections with SCRAM-SHA-256, for the load tool's callers
// and for the naive baseline.
package pgauth

import (
	"maps"
	"sync"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// mechanism is the only SASL mechanism in use.
const mechanism = "SCRAM-SHA-256"

// Severities that end a connection.
const (
	severityFatal = "FATAL"
	severityPanic = "PANIC"
)

// ServerError is an ErrorResponse.
type ServerError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
	// Fatal is true when the server ends the connection.
	Fatal bool
}

// NewServerError copies an ErrorResponse.
func NewServerError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{
		Code:    m.Code,
		Message: m.Message,
		Fatal:   m.Severity == severityFatal || m.Severity == severityPanic,
	}
}

// Error formats the SQLSTATE and the message.
func (e *ServerError) Error() string { return "sqlstate=" + e.Code + ": " + e.Message }

// Clients keeps a SCRAM client for each password. A client caches derived keys, so that reconnecting callers do not
// spend the generator's processor time on key derivation. It may be used concurrently.
type Clients struct{ byPassword sync.Map }

func (c *Clients) get(password string) (*scram.Client, error) {
	if v, ok := c.byPassword.Load(password); ok {
		return v.(*scram.Client), nil
	}
	// The server takes the user from the start-up message and ignores the name in the exchange.
	client, err := scram.SHA256.NewClientUnprepped("", password, "")
	if err != nil {
		return nil, errors.Wrap(err, "step=scram")
	}
	v, _ := c.byPassword.LoadOrStore(password, client)
	return v.(*scram.Client), nil
}

// Login is what a connection starts with.
type Login struct {
	User       string
	Password   string
	Parameters map[string]string
}

// Connect starts the connection behind front and returns after the first ReadyForQuery. Parameters that the server
// reports are handed to status, which may be nil. A refusal is a *ServerError.
func (c *Clients) Connect(front *pgproto3.Frontend, l Login, status func(name, value string)) error {
	parameters := maps.Clone(l.Parameters)
	if parameters == nil {
		parameters = make(map[string]string)
	}
	parameters["user"] = l.User
	front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	if err := front.Flush(); err != nil {
		return errors.Wrap(err, "step=startup")
	}
	exchange := &exchange{clients: c, front: front, password: l.Password}
	for {
		m, err := front.Receive()
		if err != nil {
			return errors.Wrap(err, "step=startup")
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return NewServerError(m)
		case *pgproto3.ParameterStatus:
			if status != nil {
				status(m.Name, m.Value)
			}
		default:
			if err := exchange.handle(m); err != nil {
				return err
			}
		}
	}
}

// exchange is one authentication.
type exchange struct {
	clients      *Clients
	front        *pgproto3.Frontend
	password     string
	conversation *scram.ClientConversation
}

// handle answers an authentication message and ignores all others.
func (e *exchange) handle(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.AuthenticationSASL:
		return e.begin()
	case *pgproto3.AuthenticationSASLContinue:
		answer, err := e.step(m.Data)
		if err != nil {
			return err
		}
		e.front.Send(&pgproto3.SASLResponse{Data: []byte(answer)})
		return e.front.Flush()
	case *pgproto3.AuthenticationSASLFinal:
		_, err := e.step(m.Data)
		return err
	}
	return nil
}

func (e *exchange) begin() error {
	client, err := e.clients.get(e.password)
	if err != nil {
		return err
	}
	e.conversation = client.NewConversation()
	first, err := e.conversation.Step("")
	if err != nil {
		return errors.Wrap(err, "step=scram")
	}
	e.front.Send(&pgproto3.SASLInitialResponse{AuthMechanism: mechanism, Data: []byte(first)})
	return e.front.Flush()
}

func (e *exchange) step(challenge []byte) (string, error) {
	if e.conversation == nil {
		return "", errors.New("step=scram: continuation before its start")
	}
	answer, err := e.conversation.Step(string(challenge))
	if err != nil {
		return "", errors.Wrap(err, "step=scram")
	}
	return answer, nil
}
