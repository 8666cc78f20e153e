package group

import (
	"database/sql/driver"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/standin/group/sqltext"
)

// prepared is a prepared statement. Its statement is nil for an empty text.
type prepared struct {
	statement *sqltext.Statement
	// declared holds the parameter types that the client gave.
	declared []uint32
}

// portal is a bound statement.
type portal struct {
	prepared *prepared
	args     []driver.NamedValue
	formats  []int16
	// rows holds encoded rows that an Execute with a row limit has left, and tag the command tag that follows them.
	rows    []byte
	tag     string
	started bool
}

// paramTypes returns the types of the parameters: the client's where given, guessed ones elsewhere.
func (s *session) paramTypes(p *prepared) ([]uint32, error) {
	if p.statement == nil {
		return nil, nil
	}
	d, err := s.describe(p.statement)
	if err != nil {
		return nil, err
	}
	out := make([]uint32, max(len(d.params), p.statement.Params))
	copy(out, d.params)
	for i, oid := range p.declared {
		if i < len(out) && oid != sqltext.Unknown {
			out[i] = oid
		}
	}
	return out, nil
}

func (s *session) handleParse(body []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return fatalf(stateProtocol, "%s", err)
	}
	statements, err := s.m.parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return errorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if m.Name != "" && s.prepared[m.Name] != nil {
		return errorf(stateDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	p := &prepared{declared: append([]uint32(nil), m.ParameterOIDs...)}
	if len(statements) == 1 {
		p.statement = statements[0]
		if err := s.checkFailed(p.statement); err != nil {
			return err
		}
		if _, err := s.describe(p.statement); err != nil {
			return err
		}
	}
	s.prepared[m.Name] = p
	s.send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(body []byte) error {
	var m pgproto3.Bind
	if err := m.Decode(body); err != nil {
		return fatalf(stateProtocol, "%s", err)
	}
	p := s.prepared[m.PreparedStatement]
	if p == nil {
		return errorf(stateUndefinedStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	types, err := s.paramTypes(p)
	if err != nil {
		return err
	}
	if len(m.Parameters) != len(types) {
		return errorf(stateProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(types))
	}
	args, err := decodeArgs(types, m.ParameterFormatCodes, m.Parameters)
	if err != nil {
		return err
	}
	s.portals[m.DestinationPortal] = &portal{
		prepared: p, args: args, formats: append([]int16(nil), m.ResultFormatCodes...),
	}
	s.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(body []byte) error {
	var m pgproto3.Describe
	if err := m.Decode(body); err != nil {
		return fatalf(stateProtocol, "%s", err)
	}
	if m.ObjectType == 'P' {
		p := s.portals[m.Name]
		if p == nil {
			return errorf(stateUndefinedPortal, "portal %q does not exist", m.Name)
		}
		return s.describeRows(p.prepared, p.formats)
	}
	p := s.prepared[m.Name]
	if p == nil {
		return errorf(stateUndefinedStatement, "prepared statement %q does not exist", m.Name)
	}
	types, err := s.paramTypes(p)
	if err != nil {
		return err
	}
	s.send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	return s.describeRows(p, nil)
}

func (s *session) describeRows(p *prepared, formats []int16) error {
	if p.statement == nil || !p.statement.Rows {
		s.send(&pgproto3.NoData{})
		return nil
	}
	d, err := s.describe(p.statement)
	if err != nil {
		return err
	}
	s.send(&pgproto3.RowDescription{Fields: fieldDescriptions(d.columns, formats)})
	return nil
}

func (s *session) handleExecute(body []byte) error {
	var m pgproto3.Execute
	if err := m.Decode(body); err != nil {
		return fatalf(stateProtocol, "%s", err)
	}
	p := s.portals[m.Portal]
	if p == nil {
		return errorf(stateUndefinedPortal, "portal %q does not exist", m.Portal)
	}
	if p.prepared.statement == nil {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	s.clearCancel()
	if !p.started {
		if err := s.runPortal(p, m.MaxRows > 0); err != nil {
			return err
		}
	}
	s.sendPortalRows(p, int(m.MaxRows))
	return nil
}

// runPortal runs the statement. With keep, its rows stay in the portal.
func (s *session) runPortal(p *portal, keep bool) error {
	st := p.prepared.statement
	if err := s.checkFailed(st); err != nil {
		return err
	}
	d, err := s.describe(st)
	if err != nil {
		return err
	}
	p.started = true
	if !keep {
		p.tag, err = s.execute(st, d, p.args, p.formats)
		return err
	}
	if err := s.flush(); err != nil {
		return fatalf(stateAdminShutdown, "%s", err)
	}
	p.tag, err = s.execute(st, d, p.args, p.formats)
	p.rows, s.out = s.out, nil
	return err
}

// sendPortalRows sends up to limit kept rows, or all for limit 0, and the completion after the last one.
func (s *session) sendPortalRows(p *portal, limit int) {
	for n := 0; len(p.rows) > 0 && (limit == 0 || n < limit); n++ {
		size := 1 + int(binary.BigEndian.Uint32(p.rows[1:]))
		s.out = append(s.out, p.rows[:size]...)
		p.rows = p.rows[size:]
	}
	if len(p.rows) > 0 {
		s.send(&pgproto3.PortalSuspended{})
		return
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
}

func (s *session) handleClose(body []byte) error {
	var m pgproto3.Close
	if err := m.Decode(body); err != nil {
		return fatalf(stateProtocol, "%s", err)
	}
	if m.ObjectType == 'P' {
		delete(s.portals, m.Name)
	} else {
		delete(s.prepared, m.Name)
	}
	s.send(&pgproto3.CloseComplete{})
	return nil
}

// handleSync ends a series of extended messages: it commits an implicit transaction and reports that the session is
// ready.
func (s *session) handleSync() error {
	s.skipToSync = false
	if s.tx == nil || !s.tx.explicit {
		clear(s.portals)
	}
	if s.tx != nil && !s.tx.explicit {
		if err := s.commitTransaction(); err != nil {
			return err
		}
	}
	s.ready()
	return nil
}
