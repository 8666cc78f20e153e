package exchange

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// namePrefix starts the name of every statement that celerystep prepares on a connection.
	namePrefix = "celerystep_"
	// nameHashBytes is the length of the hash in a name. The hash must be collision-resistant, because customers share
	// a connection.
	nameHashBytes = 16
	// maxStatements bounds the prepared statements of a connection, which take memory on the member.
	maxStatements = 256
)

// statementName returns the name under which every connection prepares the query with these parameter types.
func statementName(query string, oids []uint32) string {
	h := sha256.New()
	var scratch [4]byte
	for _, oid := range oids {
		binary.BigEndian.PutUint32(scratch[:], oid)
		h.Write(scratch[:])
	}
	// The count marks the end of the types, so that the hash input is unambiguous.
	binary.BigEndian.PutUint32(scratch[:], uint32(len(oids)))
	h.Write(scratch[:])
	h.Write([]byte(query))
	var sum [sha256.Size]byte
	return namePrefix + hex.EncodeToString(h.Sum(sum[:0])[:nameHashBytes])
}

// statements is an LRU list of the prepared statements of a connection.
type statements struct {
	byName map[string]*list.Element
	order  list.List
}

// touch reports whether the statement is prepared and marks it as most recently used.
func (s *statements) touch(name string) bool {
	e, ok := s.byName[name]
	if ok {
		s.order.MoveToFront(e)
	}
	return ok
}

func (s *statements) add(name string) {
	if s.touch(name) {
		return
	}
	if s.byName == nil {
		s.byName = make(map[string]*list.Element)
	}
	s.byName[name] = s.order.PushFront(name)
}

func (s *statements) remove(name string) {
	e, ok := s.byName[name]
	if !ok {
		return
	}
	s.order.Remove(e)
	delete(s.byName, name)
}

// oldest returns the least recently used statement if the connection holds maxStatements or more, or "".
func (s *statements) oldest() string {
	if s.order.Len() < maxStatements {
		return ""
	}
	return s.order.Back().Value.(string)
}
