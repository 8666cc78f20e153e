package exchange

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/request"
)

// headerBytes is the length of a message's type and length fields.
const headerBytes = 5

// Frontend message types that an exchange may contain.
const (
	typeQuery    = 'Q'
	typeParse    = 'P'
	typeBind     = 'B'
	typeDescribe = 'D'
	typeExecute  = 'E'
	typeClose    = 'C'
	typeFlush    = 'H'
	typeSync     = 'S'
)

// objectStatement is the object type of Describe and Close for a prepared statement.
const objectStatement = 'S'

// expect is the kind of answer that completes a message.
type expect uint8

const (
	// expectReady is completed by ReadyForQuery: a Query or a Sync.
	expectReady expect = iota
	// expectOne is completed by the next message other than rows, notices and the parameter description.
	expectOne
)

// op is a message whose answer is outstanding.
type op struct {
	expect expect
	// discard drops the answer, because the caller did not send the message.
	discard bool
	// local is an answer emitted in order without a message to the upstream.
	local []byte
	// prepared and closed name the statement that the answer confirms as prepared or closed.
	prepared string
	closed   string
	// setting is the change that the answer confirms.
	setting *Setting
}

// Exchange is one exchange translated for one pooled connection.
type Exchange struct {
	// Settings holds the encoded changes of settings that go before the statement; empty when none are needed.
	Settings []byte
	// Changes lists the changes that Settings encodes.
	Changes []Setting
	// Statement holds the caller's encoded messages, translated for the connection.
	Statement []byte

	ops []op
}

// builder translates the messages of one exchange.
type builder struct {
	state *State
	r     *request.Request
	// local maps the session's names of statements that this exchange parsed or closed to the connection's names; a
	// closed one maps to "".
	local map[string]string
	// pending is the set of statements that this exchange prepares on the connection.
	pending map[string]bool
	// unnamed is true once this exchange has parsed the unnamed statement.
	unnamed bool
	// evict allows evicting old statements; it is false inside a transaction, whose portals may depend on them.
	evict bool
	out   []byte
	ops   []op
}

// Build translates the request for a connection in the given state and with the given transaction status ('I', 'T' or
// 'E'). It returns an error for malformed messages and for types that an exchange may not contain.
func Build(s *State, r *request.Request, txStatus byte) (*Exchange, error) {
	x := &Exchange{}
	customer := r.Customer
	if mutation.On(mutation.KeyToUpstream) {
		customer += "." + r.Key
	}
	if txStatus != 'E' { // a failed transaction rejects SET
		if err := x.addSettings(s.Changes(customer, r.Parameters)); err != nil {
			return nil, err
		}
	}
	if isSimple(r.Messages) {
		x.Statement = r.Messages
		x.ops = append(x.ops, op{expect: expectReady})
		return x, nil
	}
	b := builder{state: s, r: r, evict: txStatus == 'I', ops: x.ops, out: make([]byte, 0, len(r.Messages)+64)}
	if err := b.run(); err != nil {
		return nil, err
	}
	x.Statement = b.out
	x.ops = b.ops
	return x, nil
}

func (x *Exchange) addSettings(changes []Setting) error {
	x.Changes = changes
	for i := range changes {
		encoded, err := appendSetting(x.Settings, changes[i])
		if err != nil {
			return err
		}
		x.Settings = encoded
		x.ops = append(x.ops, op{expect: expectReady, discard: true, setting: &changes[i]})
	}
	return nil
}

// isSimple reports whether p is exactly one Query message.
func isSimple(p []byte) bool {
	return len(p) > headerBytes && p[0] == typeQuery && messageLength(p) == len(p)
}

// messageLength returns the length of the message that p begins with, header included.
func messageLength(p []byte) int { return int(binary.BigEndian.Uint32(p[1:headerBytes])) + 1 }

// nextMessage splits the first message off p.
func nextMessage(p []byte) (message, rest []byte, err error) {
	if len(p) < headerBytes {
		return nil, nil, errors.New("message header is cut off")
	}
	n := messageLength(p)
	if n < headerBytes || n > len(p) {
		return nil, nil, errors.Errorf("message type %q: length %d does not fit", p[0], n)
	}
	return p[:n], p[n:], nil
}

func (b *builder) run() error {
	rest := b.r.Messages
	for len(rest) > 0 {
		message, tail, err := nextMessage(rest)
		if err != nil {
			return err
		}
		if message[0] == typeSync && len(tail) > 0 {
			return errors.New("messages follow a Sync")
		}
		if err := b.message(message); err != nil {
			return err
		}
		rest = tail
	}
	if n := len(b.ops); n == 0 || b.ops[n-1].expect != expectReady {
		return errors.New("messages do not end with a Sync")
	}
	return nil
}

func (b *builder) message(m []byte) error {
	switch m[0] {
	case typeParse:
		return b.parse(m)
	case typeBind:
		return b.bind(m)
	case typeDescribe:
		return b.describe(m)
	case typeClose:
		return b.close(m)
	case typeExecute:
		b.pass(m, op{expect: expectOne})
	case typeFlush:
		b.out = append(b.out, m...)
	case typeSync:
		b.pass(m, op{expect: expectReady})
	default:
		return errors.Errorf("message type %q is not allowed in an extended exchange", m[0])
	}
	return nil
}

func (b *builder) pass(m []byte, o op) {
	b.out = append(b.out, m...)
	b.ops = append(b.ops, o)
}

func (b *builder) parse(m []byte) error {
	var p pgproto3.Parse
	if err := p.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(err, "parse")
	}
	if p.Name == "" {
		b.unnamed = true
		b.pass(m, op{expect: expectOne})
		return nil
	}
	name := statementName(p.Query, p.ParameterOIDs)
	b.define(p.Name, name)
	if b.has(name) {
		b.ops = append(b.ops, op{expect: expectOne, local: parseComplete})
		return nil
	}
	return b.prepare(name, p.Query, p.ParameterOIDs, false)
}

func (b *builder) define(sessionName, name string) {
	if b.local == nil {
		b.local = make(map[string]string)
	}
	b.local[sessionName] = name
}

func (b *builder) has(name string) bool { return b.pending[name] || b.state.statements.touch(name) }

// prepare adds a Parse; its answer is discarded if the caller did not send one.
func (b *builder) prepare(name, query string, oids []uint32, discard bool) error {
	if old := b.state.statements.oldest(); old != "" && b.evict && !b.pending[old] {
		if err := b.add(&pgproto3.Close{ObjectType: objectStatement, Name: old}); err != nil {
			return err
		}
		b.ops = append(b.ops, op{expect: expectOne, discard: true, closed: old})
		b.evict = false // at most one eviction per exchange
	}
	if err := b.add(&pgproto3.Parse{Name: name, Query: query, ParameterOIDs: oids}); err != nil {
		return err
	}
	b.ops = append(b.ops, op{expect: expectOne, discard: discard, prepared: name})
	if name != "" {
		if b.pending == nil {
			b.pending = make(map[string]bool)
		}
		b.pending[name] = true
	}
	return nil
}

func (b *builder) add(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(b.out)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	b.out = out
	return nil
}

// resolve returns the connection's name for the session's statement and prepares the statement there if necessary.
func (b *builder) resolve(sessionName string) (string, error) {
	if sessionName == "" && b.unnamed {
		return "", nil
	}
	if name, ok := b.local[sessionName]; ok {
		return upstreamName(name, sessionName), nil
	}
	for i := range b.r.Prepared {
		p := &b.r.Prepared[i]
		if p.Name != sessionName {
			continue
		}
		if sessionName == "" {
			// Unnamed statements are usually used once, so they are not cached and evict no named ones.
			b.unnamed = true
			return "", b.prepare("", p.Query, p.ParamOIDs, true)
		}
		name := statementName(p.Query, p.ParamOIDs)
		b.define(sessionName, name)
		if b.has(name) {
			return name, nil
		}
		return name, b.prepare(name, p.Query, p.ParamOIDs, true)
	}
	return upstreamName("", sessionName), nil
}

// upstreamName returns name or, for a statement that the session does not have, a name to send so that the upstream's
// error mentions it. The latter never equals the name of a statement that another session prepared on the connection.
func upstreamName(name, sessionName string) string {
	if name != "" {
		return name
	}
	if strings.HasPrefix(sessionName, namePrefix) {
		return "?" + sessionName
	}
	return sessionName
}

func (b *builder) bind(m []byte) error {
	portal, rest, ok := bytes.Cut(m[headerBytes:], []byte{0})
	if !ok {
		return errors.New("bind: portal name is cut off")
	}
	statement, rest, ok := bytes.Cut(rest, []byte{0})
	if !ok {
		return errors.New("bind: statement name is cut off")
	}
	name, err := b.resolve(string(statement))
	if err != nil {
		return err
	}
	length := 4 + len(portal) + 1 + len(name) + 1 + len(rest)
	b.out = append(b.out, typeBind)
	b.out = binary.BigEndian.AppendUint32(b.out, uint32(length))
	b.out = append(b.out, portal...)
	b.out = append(b.out, 0)
	b.out = append(b.out, name...)
	b.out = append(b.out, 0)
	b.out = append(b.out, rest...)
	b.ops = append(b.ops, op{expect: expectOne})
	return nil
}

func (b *builder) describe(m []byte) error {
	var d pgproto3.Describe
	if err := d.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(err, "describe")
	}
	if d.ObjectType != objectStatement {
		b.pass(m, op{expect: expectOne})
		return nil
	}
	name, err := b.resolve(d.Name)
	if err != nil {
		return err
	}
	if err := b.add(&pgproto3.Describe{ObjectType: objectStatement, Name: name}); err != nil {
		return err
	}
	b.ops = append(b.ops, op{expect: expectOne})
	return nil
}

func (b *builder) close(m []byte) error {
	var c pgproto3.Close
	if err := c.Decode(m[headerBytes:]); err != nil {
		return errors.Wrap(err, "close")
	}
	if c.ObjectType != objectStatement || c.Name == "" {
		b.pass(m, op{expect: expectOne})
		return nil
	}
	// The statement stays prepared on the connection for other sessions that use the same text.
	b.define(c.Name, "")
	b.ops = append(b.ops, op{expect: expectOne, local: closeComplete})
	return nil
}
