package exchange

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/request"
)

// EndLostTransaction returns the answer to the end of a transaction whose connection was lost. Every COMMIT and ROLLBACK
// is answered with ROLLBACK, as PostgreSQL does in a failed transaction. It returns false if the request executes anything
// else, or nothing.
func EndLostTransaction(r *request.Request) ([]byte, bool) {
	l := lostBuilder{request: r, texts: make(map[string]string)}
	for i := range r.Prepared {
		l.texts[r.Prepared[i].Name] = r.Prepared[i].Query
	}
	for rest := r.Messages; len(rest) > 0; {
		m, tail, err := nextMessage(rest)
		if err != nil || l.message(m) != nil {
			return nil, false
		}
		rest = tail
	}
	return l.out, l.ended
}

type lostBuilder struct {
	request *request.Request
	// texts maps the session's statement names to their queries; bound is the text of the last Bind.
	texts map[string]string
	bound string
	ended bool
	out   []byte
}

var errNotEnd = errors.New("does not end a transaction")

func (l *lostBuilder) message(m []byte) error {
	body := m[headerBytes:]
	switch m[0] {
	case typeQuery:
		return l.complete(string(bytes.TrimSuffix(body, []byte{0})))
	case typeParse:
		var p pgproto3.Parse
		if err := p.Decode(body); err != nil {
			return err
		}
		l.texts[p.Name] = p.Query
		l.out = append(l.out, parseComplete...)
	case typeBind:
		var b pgproto3.Bind
		if err := b.Decode(body); err != nil {
			return err
		}
		l.bound = l.texts[b.PreparedStatement]
		return l.add(&pgproto3.BindComplete{})
	case typeDescribe:
		return l.describe(body)
	case typeExecute:
		return l.complete(l.bound)
	case typeClose:
		l.out = append(l.out, closeComplete...)
	}
	return nil
}

func (l *lostBuilder) describe(body []byte) error {
	if len(body) > 0 && body[0] == objectStatement {
		if err := l.add(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
	}
	return l.add(&pgproto3.NoData{})
}

func (l *lostBuilder) complete(query string) error {
	if !endsTransaction(query) {
		return errNotEnd
	}
	l.ended = true
	return l.add(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

func (l *lostBuilder) add(m pgproto3.BackendMessage) error {
	out, err := m.Encode(l.out)
	l.out = out
	return err
}

// endsTransaction reports whether the query is a single COMMIT or ROLLBACK of the whole transaction.
func endsTransaction(query string) bool {
	words := strings.Fields(strings.ToUpper(strings.TrimRight(query, "; \t\r\n")))
	if len(words) == 0 {
		return false
	}
	switch words[0] {
	case "COMMIT", "ROLLBACK", "END", "ABORT":
	default:
		return false
	}
	return len(words) == 1 || len(words) == 2 && (words[1] == "WORK" || words[1] == "TRANSACTION")
}
