package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/pgauth"
)

// notRunText is in every error answer that says that the statement was not run (design page, section 7).
const notRunText = "not run"

// SQLSTATE codes that the client acts on.
const (
	codeAdminShutdown = "57P01"
	// codeClassAuthorization starts the codes of a refused key.
	codeClassAuthorization = "28"
	// codeClassUnknown starts the codes of broken connections and unknown outcomes.
	codeClassUnknown = "08"
)

// tagRollback is the command tag of a COMMIT that rolled back.
const tagRollback = "ROLLBACK"

// answer is what came back for a statement.
type answer struct {
	outcome check.Outcome
	code    string
	rows    [][]string
	tag     string
	// ended is true when the connection cannot be used any more.
	ended bool
	err   error
}

// exec runs a statement and waits for its whole answer until the deadline.
func (c *conn) exec(p Protocol, s statement, deadline time.Time) answer {
	if err := c.net.SetDeadline(deadline); err != nil {
		return answer{outcome: check.OutcomeNotSent, ended: true, err: errors.Wrap(err, "step=deadline")}
	}
	c.queue(p, s)
	if err := c.front.Flush(); err != nil {
		return answer{ended: true, err: errors.Wrapf(err, "step=send peer=%s", c.endpoint.Address)}
	}
	a := c.receive()
	if a.outcome != check.OutcomeOK {
		// The statement may not have been prepared; the next use prepares it again under a new name.
		delete(c.prepared, s.text)
	}
	return a
}

// queue encodes the statement's messages. Statements without values always go by the simple protocol.
func (c *conn) queue(p Protocol, s statement) {
	if p == ProtocolSimple || len(s.params) == 0 {
		c.front.SendQuery(&pgproto3.Query{String: s.literal()})
		return
	}
	name, known := c.prepared[s.text]
	if p == ProtocolPrepared && !known {
		c.lastName++
		name = "s" + strconv.Itoa(c.lastName)
		c.prepared[s.text] = name
	}
	if !known {
		c.front.SendParse(&pgproto3.Parse{Name: name, Query: s.text})
	}
	values := make([][]byte, len(s.params))
	for i, v := range s.params {
		values[i] = []byte(v)
	}
	c.front.SendBind(&pgproto3.Bind{PreparedStatement: name, Parameters: values})
	c.front.SendDescribe(&pgproto3.Describe{ObjectType: 'P'})
	c.front.SendExecute(&pgproto3.Execute{})
	c.front.SendSync(&pgproto3.Sync{})
}

// receive reads an answer up to ReadyForQuery, a fatal error or the end of the stream.
func (c *conn) receive() answer {
	var a answer
	var failure *pgauth.ServerError
	for {
		m, err := c.front.Receive()
		if err != nil {
			a.ended = true
			a.err = errors.Wrapf(err, "step=receive peer=%s", c.endpoint.Address)
			return a.withFailure(failure)
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			a.rows = append(a.rows, textFields(m))
		case *pgproto3.CommandComplete:
			a.tag = string(m.CommandTag)
		case *pgproto3.ErrorResponse:
			failure = pgauth.NewServerError(m)
			if failure.Fatal {
				a.ended = true
				return a.withFailure(failure)
			}
		case *pgproto3.ReadyForQuery:
			c.txStatus = m.TxStatus
			a.outcome = check.OutcomeOK
			return a.withFailure(failure)
		default:
			_ = c.note(m)
		}
	}
}

// withFailure sets the outcome that an ErrorResponse states.
func (a answer) withFailure(e *pgauth.ServerError) answer {
	if e == nil {
		return a
	}
	a.code = e.Code
	a.err = e
	a.outcome = outcomeOf(e)
	return a
}

// outcomeOf concludes from an error answer whether the statement may have run. A server that is shutting down or lost
// its upstream may have run it unless it says otherwise; any other SQL error means that it had no effect.
func outcomeOf(e *pgauth.ServerError) check.Outcome {
	switch {
	case strings.Contains(e.Message, notRunText):
		return check.OutcomeNotRun
	case strings.HasPrefix(e.Code, codeClassUnknown) || e.Fatal:
		return check.OutcomeUnknown
	default:
		return check.OutcomeFailed
	}
}

func textFields(m *pgproto3.DataRow) []string {
	fields := make([]string, len(m.Values))
	for i, v := range m.Values {
		fields[i] = string(v)
	}
	return fields
}
