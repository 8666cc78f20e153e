package entry

import (
	"slices"
	"sync"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
)

// statement is a prepared statement of the protocol, kept by the session.
type statement struct {
	name  string
	query string
	oids  []uint32
	info  *classify.Statement
}

// operation is one message of the extended protocol.
type operation struct {
	kind byte
	// target is 'S' or 'P' for Describe and Close.
	target byte
	// start and end delimit the message in the exchange.
	start, end int
	// name is the statement of Parse and of Close and Describe with target 'S', else the portal.
	name string
	// statement is what the message refers to; nil for Close and for a portal that the session does not know.
	statement *statement
}

// batch holds the messages of one exchange of the extended protocol.
type batch struct {
	operations []operation
	// err is the first error; after it messages are skipped up to Sync. reported is true when it was sent.
	err      *pgwire.Error
	skip     bool
	reported bool
	// segment is the buffer for messages that are not passed on as they came.
	segment []byte
}

var batches = sync.Pool{New: func() any { return new(batch) }}

// maxPooledSegment bounds the buffer that is kept with a batch.
const maxPooledSegment = 64 << 10

func (b *batch) release() {
	clear(b.operations)
	*b = batch{operations: b.operations[:0], segment: b.segment[:0]}
	if cap(b.segment) <= maxPooledSegment {
		batches.Put(b)
	}
}

// reject notes the first error of the batch.
func (b *batch) reject(e *pgwire.Error) {
	if b.err == nil {
		b.err = e
	}
	b.skip = true
}

// restart forgets the operations that were served.
func (b *batch) restart() {
	clear(b.operations)
	b.operations = b.operations[:0]
}

// findStatement returns the statement that a name refers to at this place of the batch.
func (s *session) findStatement(b *batch, name []byte) *statement {
	for i := len(b.operations) - 1; i >= 0; i-- {
		o := &b.operations[i]
		switch {
		case o.kind == 'P' && o.name == string(name):
			return o.statement
		case o.kind == 'C' && o.target == 'S' && o.name == string(name):
			return nil
		}
	}
	return s.statements[string(name)]
}

// findPortal returns the statement of a portal, or nil for one that an upstream may know, like a cursor of SQL.
func (s *session) findPortal(b *batch, name []byte) *statement {
	for i := len(b.operations) - 1; i >= 0; i-- {
		o := &b.operations[i]
		if o.kind == 'B' && o.name == string(name) {
			return o.statement
		}
	}
	return s.portals[string(name)]
}

// defined reports whether the operations up to index i prepare the statement themselves.
func defined(operations []operation, i int, t *statement) bool {
	for j := range operations[:i] {
		if operations[j].kind == 'P' && operations[j].statement == t {
			return true
		}
	}
	return false
}

// collect returns the statements that the operations refer to and do not prepare themselves.
func collect(operations []operation) []request.Prepared {
	var prepared []request.Prepared
	for i := range operations {
		o := &operations[i]
		t := o.statement
		refers := o.kind == 'B' || o.kind == 'D' && o.target == 'S'
		if !refers || t == nil || defined(operations, i, t) || listed(prepared, t.name) {
			continue
		}
		prepared = append(prepared, request.Prepared{Name: t.name, Query: t.query, ParamOIDs: t.oids})
	}
	return prepared
}

func listed(prepared []request.Prepared, name string) bool {
	return slices.ContainsFunc(prepared, func(p request.Prepared) bool { return p.Name == name })
}

// effectOf takes the effects of the executed statements together. Without any, the kind is that of the statements that
// are prepared, bound or described.
func effectOf(operations []operation) effect {
	var e effect
	for i := range operations {
		o := &operations[i]
		if o.kind != 'E' {
			continue
		}
		if o.statement == nil {
			e.add(unknownPortal)
			continue
		}
		e.add(o.statement.info)
	}
	if e.statements > 0 {
		return e
	}
	e.kind = request.KindRead
	for i := range operations {
		if t := operations[i].statement; t != nil && t.info.Kind == request.KindWrite {
			e.kind = request.KindWrite
		}
	}
	return e
}

// unknownPortal stands for the execution of a portal that the session does not know.
var unknownPortal = &classify.Statement{Kind: request.KindWrite, Count: 1}
