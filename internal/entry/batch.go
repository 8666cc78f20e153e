package entry

import (
	"slices"
	"sync"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
)

// statement is a prepared statement of the extended protocol, kept by the session.
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
	// start and end are the offsets of the message in the exchange.
	start, end int
	// name is the statement name for Parse and for Close and Describe with target 'S', otherwise the portal name.
	name string
	// statement is the referenced statement. It is nil for Close and for portals that the session does not know.
	statement *statement
}

// batch holds the messages of one exchange of the extended protocol.
type batch struct {
	operations []operation
	// err is the first error. Once it is set, messages are skipped up to Sync. reported is true after it was buffered.
	err      *pgwire.Error
	skip     bool
	reported bool
	// segment is a buffer for a request that contains only part of the exchange.
	segment []byte
}

var batchPool = sync.Pool{New: func() any { return new(batch) }}

// maxPooledSegment is the largest segment capacity of a batch that is returned to the pool.
const maxPooledSegment = 64 << 10

func (b *batch) release() {
	clear(b.operations)
	*b = batch{operations: b.operations[:0], segment: b.segment[:0]}
	if cap(b.segment) <= maxPooledSegment {
		batchPool.Put(b)
	}
}

// reject records the first error of the batch and skips the rest.
func (b *batch) reject(e *pgwire.Error) {
	if b.err == nil {
		b.err = e
	}
	b.skip = true
}

// clearOperations removes the operations that have been run.
func (b *batch) clearOperations() {
	clear(b.operations)
	b.operations = b.operations[:0]
}

// findStatement resolves a statement name after the operations collected so far, or returns nil.
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

// findPortal returns the statement of a portal, or nil if the session does not know it. The upstream may still know
// such a portal, for example a cursor declared in SQL.
func (s *session) findPortal(b *batch, name []byte) *statement {
	for i := len(b.operations) - 1; i >= 0; i-- {
		o := &b.operations[i]
		if o.kind == 'B' && o.name == string(name) {
			return o.statement
		}
	}
	return s.portals[string(name)]
}

// preparedEarlier reports whether an operation before index i prepares the statement.
func preparedEarlier(operations []operation, i int, t *statement) bool {
	for j := range operations[:i] {
		if operations[j].kind == 'P' && operations[j].statement == t {
			return true
		}
	}
	return false
}

// referencedStatements returns the statements that the operations use but do not prepare.
func referencedStatements(operations []operation) []request.Prepared {
	var prepared []request.Prepared
	for i := range operations {
		o := &operations[i]
		t := o.statement
		refers := o.kind == 'B' || o.kind == 'D' && o.target == 'S'
		if !refers || t == nil || preparedEarlier(operations, i, t) || containsName(prepared, t.name) {
			continue
		}
		prepared = append(prepared, request.Prepared{Name: t.name, Query: t.query, ParamOIDs: t.oids})
	}
	return prepared
}

func containsName(prepared []request.Prepared, name string) bool {
	return slices.ContainsFunc(prepared, func(p request.Prepared) bool { return p.Name == name })
}

// effectOf combines the effects of the executed statements. If none is executed, the kind is a write when any statement
// that is prepared, bound or described is one.
func effectOf(operations []operation) effect {
	var e effect
	for i := range operations {
		o := &operations[i]
		if o.kind != 'E' {
			continue
		}
		if o.statement == nil {
			e.add(unknownPortalStatement)
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

// unknownPortalStatement is the assumed effect of executing a portal that the session does not know.
var unknownPortalStatement = &classify.Statement{Kind: request.KindWrite, Count: 1}
